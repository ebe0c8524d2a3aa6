package org.cassiastack.propagation;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ConfigurationChanged;
import org.cassiastack.configuration.ConfigurationDelta;
import org.cassiastack.configuration.Configurations;
import org.cassiastack.configuration.StartsAllowed;
import org.cassiastack.consensus.QuorumConfirmed;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Revision;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.junit.jupiter.api.Test;

class FreshnessControllerTest {
  private static final NodeId SOURCE = new NodeId("entry-1");
  private static final NodeId ASKER = new NodeId("agent-1");
  private static final Duration INTERVAL = Duration.ofMillis(500);
  private static final Duration LIMIT = Duration.ofSeconds(3);

  private final FreshnessController controller =
      FreshnessController.create(SOURCE::equals, INTERVAL, LIMIT);
  private Instant now = Instant.parse("2026-12-04T08:00:00Z");

  @Test
  void asks_its_source_on_connecting_and_at_each_interval() {
    on(new Tick());
    List<Effect> first = on(new PeerConnected(SOURCE));
    List<Effect> early = on(new Tick());
    now = now.plus(INTERVAL);
    List<Effect> second = on(new Tick());

    assertThat(first).containsExactly(new Send(SOURCE, new AskConfiguration(1, Revision.NONE)));
    assertThat(early).isEmpty();
    assertThat(second).containsExactly(new Send(SOURCE, new AskConfiguration(2, Revision.NONE)));
  }

  @Test
  void asks_several_sources_in_turn() {
    FreshnessController asker = FreshnessController.create(peer -> true, INTERVAL, LIMIT);
    asker.on(new Tick(), now);
    asker.on(new PeerConnected(SOURCE), now);
    asker.on(new PeerConnected(ASKER), now);

    List<Effect> first = asker.on(new Tick(), now.plus(INTERVAL));
    List<Effect> second = asker.on(new Tick(), now.plus(INTERVAL.multipliedBy(2)));

    assertThat(first).containsExactly(new Send(SOURCE, new AskConfiguration(3, Revision.NONE)));
    assertThat(second).containsExactly(new Send(ASKER, new AskConfiguration(4, Revision.NONE)));
  }

  @Test
  void an_answer_is_as_old_as_the_question_and_the_age_that_the_source_gives() {
    on(new PeerConnected(SOURCE));
    Instant asked = now;
    hold(1);

    now = now.plusMillis(800);
    List<Effect> effects = receive(new ConfigurationAge(1, new Revision(1), millis(700)));

    assertThat(allowed(effects).until()).isEqualTo(asked.minusMillis(700).plus(LIMIT));
  }

  @Test
  void an_answer_on_a_newer_revision_than_the_one_held_renews_nothing() {
    on(new PeerConnected(SOURCE));
    hold(1);

    assertThat(receive(new ConfigurationAge(1, new Revision(2), Duration.ZERO))).isEmpty();
  }

  @Test
  void an_older_answer_never_shortens_the_permission() {
    on(new PeerConnected(SOURCE));
    hold(1);
    receive(new ConfigurationAge(1, new Revision(1), Duration.ZERO));

    assertThat(receive(new ConfigurationAge(1, new Revision(1), millis(100)))).isEmpty();
  }

  @Test
  void an_answer_to_a_question_from_before_the_limit_renews_nothing() {
    on(new PeerConnected(SOURCE));
    hold(1);
    now = now.plus(LIMIT);
    on(new Tick());

    assertThat(receive(new ConfigurationAge(1, new Revision(1), Duration.ZERO))).isEmpty();
  }

  @Test
  void an_older_revision_never_replaces_a_newer_one() {
    hold(3);

    ConfigurationDelta old = ConfigurationDelta.snapshot(Configurations.withNorth(2, false));

    assertThat(receive(new ConfigurationUpdate(List.of(old)))).isEmpty();
  }

  @Test
  void a_delta_with_a_gap_before_it_is_not_taken() {
    hold(1);
    ConfigurationDelta later =
        ConfigurationDelta.between(
            Configurations.withNorth(2, true), Configurations.withNorth(3, false));

    assertThat(receive(new ConfigurationUpdate(List.of(later)))).isEmpty();
  }

  @Test
  void a_new_revision_goes_at_once_to_those_who_asked_before() {
    hold(1);
    receiveFrom(ASKER, new AskConfiguration(1, new Revision(1)));

    List<Effect> effects = hold(2);

    assertThat(sent(effects, ASKER))
        .singleElement()
        .isInstanceOfSatisfying(
            ConfigurationUpdate.class,
            m -> assertThat(m.deltas()).extracting(d -> d.from().value()).containsExactly(1L));
  }

  @Test
  void nothing_is_sent_to_a_peer_that_has_gone() {
    hold(1);
    receiveFrom(ASKER, new AskConfiguration(1, new Revision(1)));
    on(new PeerDisconnected(ASKER));

    assertThat(sent(hold(2), ASKER)).isEmpty();
  }

  @Test
  void a_relay_adds_its_own_age() {
    on(new PeerConnected(SOURCE));
    hold(1);
    receive(new ConfigurationAge(1, new Revision(1), millis(200)));
    now = now.plusMillis(300);

    List<Effect> effects = receiveFrom(ASKER, new AskConfiguration(9, new Revision(1)));

    assertThat(effects)
        .containsExactly(new Send(ASKER, new ConfigurationAge(9, new Revision(1), millis(500))));
  }

  @Test
  void a_stale_relay_vouches_for_nothing_but_hands_on_what_it_holds() {
    hold(1);

    List<Effect> effects = receiveFrom(ASKER, new AskConfiguration(9, Revision.NONE));

    assertThat(sent(effects, ASKER)).hasOnlyElementsOfType(ConfigurationUpdate.class).hasSize(1);
  }

  @Test
  void the_member_that_leads_is_as_fresh_as_the_heartbeat_that_its_quorum_answered() {
    hold(1);
    Instant sent = now;

    now = now.plusMillis(40);
    List<Effect> effects = on(new QuorumConfirmed(sent));

    assertThat(allowed(effects).until()).isEqualTo(sent.plus(LIMIT));
  }

  @Test
  void a_leader_that_wakes_from_a_freeze_vouches_for_nothing() {
    hold(1);
    on(new QuorumConfirmed(now));

    now = now.plusSeconds(60);

    assertThat(receiveFrom(ASKER, new AskConfiguration(9, new Revision(1)))).isEmpty();
  }

  @Test
  void who_missed_hundreds_of_changes_gets_one_snapshot() {
    for (int i = 1; i <= FreshnessController.MAX_RETAINED_DELTAS + 10; i++) {
      hold(i);
    }

    List<Effect> effects = receiveFrom(ASKER, new AskConfiguration(1, new Revision(2)));

    assertThat(sent(effects, ASKER))
        .containsExactly(
            new ConfigurationUpdate(
                List.of(
                    ConfigurationDelta.snapshot(
                        Configurations.withNorth(
                            FreshnessController.MAX_RETAINED_DELTAS + 10, true)))));
  }

  @Test
  void who_missed_a_few_changes_gets_just_these() {
    for (int i = 1; i <= 20; i++) {
      hold(i);
    }
    FreshnessController behind = FreshnessController.create(SOURCE::equals, INTERVAL, LIMIT);
    behind.on(new ConfigurationChanged(Configurations.withNorth(17, true)), now);

    List<Effect> effects = receiveFrom(ASKER, new AskConfiguration(1, new Revision(17)));
    ConfigurationUpdate update = (ConfigurationUpdate) sent(effects, ASKER).get(0);
    List<Effect> taken = behind.on(new Received(SOURCE, update), now);

    assertThat(update.deltas()).hasSize(3);
    assertThat(taken)
        .containsExactly(new Raise(new ConfigurationChanged(Configurations.withNorth(20, true))));
  }

  private List<Effect> hold(long revision) {
    Configuration c = Configurations.withNorth(revision, true);
    return on(new ConfigurationChanged(c));
  }

  private List<Effect> receive(Message m) {
    return receiveFrom(SOURCE, m);
  }

  private List<Effect> receiveFrom(NodeId from, Message m) {
    return on(new Received(from, m));
  }

  private List<Effect> on(Event event) {
    return new ArrayList<>(controller.on(event, now));
  }

  private static List<Message> sent(List<Effect> effects, NodeId to) {
    return effects.stream()
        .filter(e -> e instanceof Send s && s.to().equals(to))
        .map(e -> ((Send) e).message())
        .toList();
  }

  private static StartsAllowed allowed(List<Effect> effects) {
    return effects.stream()
        .filter(StartsAllowed.class::isInstance)
        .map(StartsAllowed.class::cast)
        .findFirst()
        .orElseThrow();
  }

  private static Duration millis(long millis) {
    return Duration.ofMillis(millis);
  }
}
