package org.cassiastack.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.configuration.Configurations;
import org.cassiastack.configuration.StartsAllowed;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.Minion;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Worker;
import org.cassiastack.protocol.Announce;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.protocol.Welcome;
import org.junit.jupiter.api.Test;

class MembershipControllerTest {
  private static final NodeId ENTRY = new NodeId("entry-1");
  private static final NodeId AGENT = new NodeId("agent-1");
  private static final NodeId OTHER = new NodeId("agent-2");
  private static final Duration LEASE = Duration.ofSeconds(3);
  private static final Duration HEARTBEAT = Duration.ofSeconds(1);
  private static final Incarnation OLD = new Incarnation(5);
  private static final Incarnation NEW = new Incarnation(6);
  private static final Minion MINION =
      new Minion(
          new MinionId("minion-1"),
          new ServiceName("ice"),
          new Worker("w1", "r1", Configurations.NORTH, 32, 65_536),
          8,
          64);

  private final MembershipController controller = MembershipController.create(ENTRY, LEASE);
  private Instant now = Instant.parse("2026-12-04T08:00:00Z");

  @Test
  void an_earlier_incarnation_neither_replaces_a_later_one_nor_gets_an_answer() {
    announce(AGENT, NEW, 1, false);

    assertThat(announce(AGENT, OLD, 9, false)).isEmpty();
  }

  @Test
  void an_earlier_incarnation_does_not_renew_the_lease_of_a_later_one() {
    settle();
    announce(AGENT, NEW, 1, false);
    now = now.plus(LEASE).minusMillis(1);
    announce(AGENT, OLD, 9, false);
    now = now.plusMillis(1);

    assertThat(viewOf(tick()).agents()).isEmpty();
  }

  @Test
  void a_later_incarnation_replaces_an_earlier_one_which_then_counts_as_lost() {
    announce(AGENT, OLD, 9, false);

    MinionsChanged view = viewOf(announce(AGENT, NEW, 1, false));

    assertThat(view.agents()).containsEntry(AGENT, NEW);
    assertThat(view.isLost(AGENT, OLD)).isTrue();
    assertThat(view.isLost(AGENT, NEW)).isFalse();
  }

  @Test
  void a_leaving_agent_takes_no_new_work_but_is_not_lost() {
    announce(AGENT, OLD, 1, false);

    MinionsChanged view = viewOf(announce(AGENT, OLD, 2, true));

    assertThat(view.available()).isEmpty();
    assertThat(view.isLost(AGENT, OLD)).isFalse();
  }

  @Test
  void an_agent_whose_lease_has_expired_is_lost() {
    settle();
    announce(AGENT, OLD, 1, false);

    now = now.plus(LEASE);

    assertThat(viewOf(tick()).isLost(AGENT, OLD)).isTrue();
  }

  @Test
  void after_a_restart_no_agent_is_reported_lost_before_one_lease_duration_has_passed() {
    tick();
    MinionsChanged viewBeforeSettled = viewOf(announce(OTHER, OLD, 1, false));

    now = now.plus(LEASE).minusMillis(1);
    announce(OTHER, OLD, 2, false);
    List<Effect> effectsBeforeSettled = tick();
    now = now.plusMillis(1);
    MinionsChanged viewOnceSettled = viewOf(tick());

    assertThat(viewBeforeSettled.isLost(AGENT, OLD)).isFalse();
    assertThat(effectsBeforeSettled).isEmpty();
    assertThat(viewOnceSettled.isLost(AGENT, OLD)).isTrue();
    assertThat(viewOnceSettled.isLost(OTHER, OLD)).isFalse();
  }

  @Test
  void each_announcement_is_answered_with_its_sequence_number() {
    assertThat(announce(AGENT, OLD, 7, false)).contains(new Send(AGENT, new Welcome(ENTRY, 7)));
  }

  @Test
  void an_agent_announces_itself_only_once_it_may_start_work() {
    AnnouncementController announcements =
        AnnouncementController.create(AGENT, OLD, List.of(MINION), HEARTBEAT);

    List<Effect> connected = announcements.on(new PeerConnected(ENTRY), now);
    List<Effect> tick = announcements.on(new Tick(), now);
    List<Effect> allowed =
        announcements.on(
            new StartsAllowed(now.plus(LEASE), Configurations.withNorth(1, true)), now);

    assertThat(connected).isEmpty();
    assertThat(tick).isEmpty();
    assertThat(allowed)
        .containsExactly(new Send(ENTRY, new Announce(AGENT, OLD, 1, false, List.of(MINION))));
  }

  private void settle() {
    tick();
    now = now.plus(LEASE);
    tick();
  }

  private List<Effect> tick() {
    return controller.on(new Tick(), now);
  }

  private List<Effect> announce(
      NodeId agent, Incarnation incarnation, long sequence, boolean leaving) {
    Announce m = new Announce(agent, incarnation, sequence, leaving, List.of(MINION));
    return controller.on(new Received(agent, m), now);
  }

  private static MinionsChanged viewOf(List<Effect> effects) {
    return effects.stream()
        .filter(MinionsChanged.class::isInstance)
        .map(MinionsChanged.class::cast)
        .findFirst()
        .orElseThrow();
  }
}
