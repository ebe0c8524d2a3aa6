package org.cassiastack.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cassiastack.model.NodeId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LeaderTrackerTest {
  private static final NodeId FIRST = new NodeId("10.0.0.1");
  private static final NodeId SECOND = new NodeId("10.0.0.2");

  private final LeaderTracker tracker = LeaderTracker.create();

  @BeforeEach
  void lose_the_connection_to_the_first_member_while_it_is_the_leader() {
    tracker.onNotice(FIRST, notice(3, FIRST));
    tracker.onDisconnect(FIRST);
  }

  @Test
  void ignores_another_member_that_names_a_lost_leader_in_the_same_term() {
    tracker.onNotice(SECOND, notice(3, FIRST));

    assertThat(tracker.leader()).isNull();
  }

  @Test
  void accepts_a_lost_leader_that_sends_a_notice_itself() {
    tracker.onNotice(FIRST, notice(3, FIRST));

    assertThat(tracker.leader()).isEqualTo(FIRST);
  }

  @Test
  void accepts_a_lost_leader_that_another_member_names_in_a_later_term() {
    tracker.onNotice(SECOND, notice(4, FIRST));

    assertThat(tracker.leader()).isEqualTo(FIRST);
  }

  private static LeaderNotice notice(long term, NodeId leader) {
    return new LeaderNotice(term, leader, List.of(FIRST, SECOND));
  }
}
