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
  private static final NodeId ONE = new NodeId("entry-1");
  private static final NodeId TWO = new NodeId("entry-2");
  private static final NodeId RELAY = new NodeId("entry-9");
  private static final UUID REQUEST = new UUID(0, 1);
  private static final Revision BASE = new Revision(4);
  private static final ChangeId CHANGE = new ChangeId(new UUID(1, 1));
  private static final ApplyRequested CHANGED =
      new ApplyRequested(REQUEST, CHANGE, BASE, Configurations.numbered(1));
  private static final ForwardApply FORWARD =
      new ForwardApply(
          REQUEST, CHANGE, BASE, ConfigurationDelta.snapshot(Configurations.numbered(1)));
  private static final ApplyResult ACCEPTED = new ApplyResult(ResultCode.ACCEPTED, new Revision(5));

  private final Instant now = Instant.parse("2026-12-04T08:00:00Z");
  private final ApplyRouter relay = ApplyRouter.create(RELAY, List.of(ONE, TWO)::contains);
  private final ApplyRouter member = ApplyRouter.create(ONE, List.of(ONE, TWO)::contains);

  @Test
  void an_entry_without_the_control_role_hands_a_change_to_a_member_and_the_answer_back() {
    relay.on(new PeerConnected(TWO), now);

    assertThat(relay.on(new ApplySubmitted(CHANGED), now)).containsExactly(new Send(TWO, FORWARD));
    assertThat(relay.on(new Received(TWO, new ForwardedApply(REQUEST, ACCEPTED)), now))
        .containsExactly(new ApplyAnswered(REQUEST, ACCEPTED));
  }

  @Test
  void an_entry_that_reaches_no_member_says_that_nothing_changed() {
    assertThat(relay.on(new ApplySubmitted(CHANGED), now))
        .containsExactly(
            new ApplyAnswered(REQUEST, new ApplyResult(ResultCode.NO_LEADER, Revision.NONE)));
  }

  @Test
  void a_change_without_an_answer_in_time_is_unresolved_and_answered_once() {
    relay.on(new PeerConnected(TWO), now);
    relay.on(new ApplySubmitted(CHANGED), now);

    Instant late = now.plus(ApplyRouter.FORWARD_TIMEOUT);

    assertThat(relay.on(new Tick(), late))
        .containsExactly(
            new ApplyAnswered(
                REQUEST, new ApplyResult(ResultCode.CHANGE_UNRESOLVED, Revision.NONE)));
    assertThat(relay.on(new Received(TWO, new ForwardedApply(REQUEST, ACCEPTED)), late)).isEmpty();
  }

  @Test
  void a_member_hands_a_change_on_to_the_member_that_leads() {
    member.on(new PeerConnected(TWO), now);
    member.on(new LeaderChanged(3, TWO, false), now);

    assertThat(member.on(new Received(RELAY, FORWARD), now))
        .containsExactly(new Send(TWO, FORWARD));
    assertThat(member.on(new Received(TWO, new ForwardedApply(REQUEST, ACCEPTED)), now))
        .containsExactly(new Send(RELAY, new ForwardedApply(REQUEST, ACCEPTED)));
  }

  @Test
  void a_change_that_a_member_handed_on_goes_no_further() {
    member.on(new PeerConnected(TWO), now);
    member.on(new LeaderChanged(3, TWO, false), now);

    assertThat(member.on(new Received(TWO, FORWARD), now)).containsExactly(new Raise(CHANGED));
  }
}
