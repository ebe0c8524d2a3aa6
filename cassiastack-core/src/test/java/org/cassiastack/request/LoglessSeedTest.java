package org.cassiastack.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.UUID;
import org.cassiastack.consensus.GreetingWithoutLog;
import org.cassiastack.consensus.JoinRequest;
import org.cassiastack.consensus.MemberGreeting;
import org.cassiastack.consensus.MemberId;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.junit.jupiter.api.Test;

class LoglessSeedTest {
  private static final Instant START = Instant.parse("2026-12-05T08:00:00Z");
  private static final NodeId SELF = new NodeId("s1");
  private static final List<NodeId> LISTED = List.of(SELF, new NodeId("s2"));
  private static final MemberId LOW = new MemberId(new NodeId("a"), new UUID(0, 1));
  private static final MemberId HIGH = new MemberId(new NodeId("b"), new UUID(0, 2));

  private LoglessSeed seed = LoglessSeed.create(SELF, LISTED, true);
  private Instant now = START;

  @Test
  void designates_the_lowest_member_that_has_greeted_it() {
    greet(HIGH);
    greet(LOW);
    now = START.plusSeconds(2);

    List<Message> answer = greet(HIGH);

    assertThat(answer).containsExactly(new GreetingWithoutLog(SELF, HIGH, LOW));
  }

  @Test
  void designates_one_member_at_most() {
    greet(HIGH);
    now = START.plusSeconds(2);
    greet(HIGH);

    assertThat(greet(LOW)).containsExactly(new GreetingWithoutLog(SELF, LOW, HIGH));
  }

  @Test
  void designates_nobody_before_all_members_had_time_to_greet() {
    greet(HIGH);
    now = START.plus(Duration.ofMillis(300));

    assertThat(greet(HIGH)).containsExactly(new GreetingWithoutLog(SELF, HIGH, null));
  }

  @Test
  void designates_nobody_while_a_log_is_known_to_exist() {
    seed.on(received(HIGH.node(), new LeaderNotice(3, HIGH.node(), List.of(HIGH.node()))), now);
    greet(LOW);
    now = START.plusSeconds(2);

    assertThat(greet(LOW)).contains(new GreetingWithoutLog(SELF, LOW, null));
  }

  @Test
  void designates_nobody_after_the_first_start_of_the_system() {
    seed = LoglessSeed.create(SELF, LISTED, false);
    greet(LOW);
    now = START.plusSeconds(2);

    assertThat(greet(LOW)).containsExactly(new GreetingWithoutLog(SELF, LOW, null));
  }

  @Test
  void asks_the_leader_to_add_a_member_that_greets_it() {
    seed.on(received(HIGH.node(), new LeaderNotice(3, HIGH.node(), List.of(HIGH.node()))), now);

    assertThat(greet(LOW)).contains(new JoinRequest(LOW));
  }

  private List<Message> greet(MemberId member) {
    return messages(seed.on(received(member.node(), new MemberGreeting(member, true, null)), now));
  }

  private static Received received(NodeId from, Message message) {
    return new Received(from, message);
  }

  private static List<Message> messages(List<Effect> effects) {
    return effects.stream().map(e -> ((Send) e).message()).toList();
  }
}
