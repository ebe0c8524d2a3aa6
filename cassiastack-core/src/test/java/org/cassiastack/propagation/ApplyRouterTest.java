package org.cassiastack.propagation;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.UUID;
import org.cassiastack.configuration.ApplyAnswered;
import org.cassiastack.configuration.ApplyRequested;
import org.cassiastack.configuration.ApplyResult;
import org.cassiastack.configuration.ChangeId;
import org.cassiastack.configuration.ConfigurationDelta;
import org.cassiastack.configuration.Configurations;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.junit.jupiter.api.Test;

class ApplyRouterTest {
  private static final NodeId MEMBER = new NodeId("entry-1");
  private static final NodeId OTHER_MEMBER = new NodeId("entry-2");
  private static final NodeId ENTRY = new NodeId("entry-9");
  private static final UUID REQUEST = new UUID(0, 1);
  private static final Revision BASE = new Revision(4);
  private static final ChangeId CHANGE = new ChangeId(new UUID(1, 1));
  private static final ApplyRequested APPLY =
      new ApplyRequested(REQUEST, CHANGE, BASE, Configurations.numbered(1));
  private static final ForwardApply FORWARD =
      new ForwardApply(
          REQUEST, CHANGE, BASE, ConfigurationDelta.snapshot(Configurations.numbered(1)));
  private static final ApplyResult ACCEPTED = new ApplyResult(ResultCode.ACCEPTED, new Revision(5));

  private final Instant now = Instant.parse("2026-12-04T08:00:00Z");
  private final ApplyRouter entry =
      ApplyRouter.create(ENTRY, List.of(MEMBER, OTHER_MEMBER)::contains);
  private final ApplyRouter member =
      ApplyRouter.create(MEMBER, List.of(MEMBER, OTHER_MEMBER)::contains);

  @Test
  void an_entry_without_the_control_role_forwards_a_change_to_a_member_and_returns_the_answer() {
    entry.on(new PeerConnected(OTHER_MEMBER), now);

    assertThat(entry.on(new ApplySubmitted(APPLY), now))
        .containsExactly(new Send(OTHER_MEMBER, FORWARD));
    assertThat(entry.on(new Received(OTHER_MEMBER, new ForwardedApply(REQUEST, ACCEPTED)), now))
        .containsExactly(new ApplyAnswered(REQUEST, ACCEPTED));
  }

  @Test
  void an_entry_that_is_connected_to_no_member_answers_no_leader() {
    assertThat(entry.on(new ApplySubmitted(APPLY), now))
        .containsExactly(
            new ApplyAnswered(REQUEST, new ApplyResult(ResultCode.NO_LEADER, Revision.NONE)));
  }

  @Test
  void a_change_without_an_answer_in_time_is_unresolved_and_answered_once() {
    entry.on(new PeerConnected(OTHER_MEMBER), now);
    entry.on(new ApplySubmitted(APPLY), now);

    Instant late = now.plus(ApplyRouter.FORWARD_TIMEOUT);

    assertThat(entry.on(new Tick(), late))
        .containsExactly(
            new ApplyAnswered(
                REQUEST, new ApplyResult(ResultCode.CHANGE_UNRESOLVED, Revision.NONE)));
    assertThat(entry.on(new Received(OTHER_MEMBER, new ForwardedApply(REQUEST, ACCEPTED)), late))
        .isEmpty();
  }

  @Test
  void a_member_forwards_a_change_to_the_leader() {
    member.on(new PeerConnected(OTHER_MEMBER), now);
    member.on(new LeaderChanged(3, OTHER_MEMBER, false), now);

    assertThat(member.on(new Received(ENTRY, FORWARD), now))
        .containsExactly(new Send(OTHER_MEMBER, FORWARD));
    assertThat(member.on(new Received(OTHER_MEMBER, new ForwardedApply(REQUEST, ACCEPTED)), now))
        .containsExactly(new Send(ENTRY, new ForwardedApply(REQUEST, ACCEPTED)));
  }

  @Test
  void a_change_that_a_member_forwarded_is_not_forwarded_again() {
    member.on(new PeerConnected(OTHER_MEMBER), now);
    member.on(new LeaderChanged(3, OTHER_MEMBER, false), now);

    assertThat(member.on(new Received(OTHER_MEMBER, FORWARD), now))
        .containsExactly(new Raise(APPLY));
  }
}
