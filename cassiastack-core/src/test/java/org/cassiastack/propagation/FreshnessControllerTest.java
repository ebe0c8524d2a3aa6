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
  private static final NodeId REQUESTER = new NodeId("agent-1");
  private static final Duration INTERVAL = Duration.ofMillis(500);
  private static final Duration MAX_AGE = Duration.ofSeconds(3);

  private final FreshnessController controller =
      FreshnessController.create(SOURCE::equals, INTERVAL, MAX_AGE);
  private Instant now = Instant.parse("2026-12-04T08:00:00Z");

  @Test
  void sends_a_request_to_its_source_on_connecting_and_at_each_interval() {
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
  void sends_requests_to_several_sources_in_turn() {
    FreshnessController requester = FreshnessController.create(peer -> true, INTERVAL, MAX_AGE);
    requester.on(new Tick(), now);
    requester.on(new PeerConnected(SOURCE), now);
    requester.on(new PeerConnected(REQUESTER), now);

    List<Effect> first = requester.on(new Tick(), now.plus(INTERVAL));
    List<Effect> second = requester.on(new Tick(), now.plus(INTERVAL.multipliedBy(2)));

    assertThat(first).containsExactly(new Send(SOURCE, new AskConfiguration(3, Revision.NONE)));
    assertThat(second).containsExactly(new Send(REQUESTER, new AskConfiguration(4, Revision.NONE)));
  }

  @Test
  void an_answer_confirms_the_time_of_the_request_minus_the_age_that_the_source_reports() {
    on(new PeerConnected(SOURCE));
    Instant requestedAt = now;
    hold(1);

    now = now.plusMillis(800);
    List<Effect> effects = receive(new ConfigurationAge(1, new Revision(1), millis(700)));

    assertThat(allowed(effects).until()).isEqualTo(requestedAt.minusMillis(700).plus(MAX_AGE));
  }

  @Test
  void an_answer_for_a_newer_revision_than_the_held_revision_renews_nothing() {
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
  void an_answer_to_a_request_that_is_older_than_the_maximum_age_renews_nothing() {
    on(new PeerConnected(SOURCE));
    hold(1);
    now = now.plus(MAX_AGE);
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
  void a_delta_that_does_not_follow_the_held_revision_is_ignored() {
    hold(1);
    ConfigurationDelta later =
        ConfigurationDelta.between(
            Configurations.withNorth(2, true), Configurations.withNorth(3, false));

    assertThat(receive(new ConfigurationUpdate(List.of(later)))).isEmpty();
  }

  @Test
  void a_new_revision_is_sent_at_once_to_earlier_requesters() {
    hold(1);
    receiveFrom(REQUESTER, new AskConfiguration(1, new Revision(1)));

    List<Effect> effects = hold(2);

    assertThat(sent(effects, REQUESTER))
        .singleElement()
        .isInstanceOfSatisfying(
            ConfigurationUpdate.class,
            m -> assertThat(m.deltas()).extracting(d -> d.from().value()).containsExactly(1L));
  }

  @Test
  void nothing_is_sent_to_a_peer_that_has_disconnected() {
    hold(1);
    receiveFrom(REQUESTER, new AskConfiguration(1, new Revision(1)));
    on(new PeerDisconnected(REQUESTER));

    assertThat(sent(hold(2), REQUESTER)).isEmpty();
  }

  @Test
  void a_process_adds_its_own_age_to_that_of_its_source() {
    on(new PeerConnected(SOURCE));
    hold(1);
    receive(new ConfigurationAge(1, new Revision(1), millis(200)));
    now = now.plusMillis(300);

    List<Effect> effects = receiveFrom(REQUESTER, new AskConfiguration(9, new Revision(1)));

    assertThat(effects)
        .containsExactly(
            new Send(REQUESTER, new ConfigurationAge(9, new Revision(1), millis(500))));
  }

  @Test
  void a_stale_process_confirms_nothing_but_sends_the_configuration_that_it_holds() {
    hold(1);

    List<Effect> effects = receiveFrom(REQUESTER, new AskConfiguration(9, Revision.NONE));

    assertThat(sent(effects, REQUESTER))
        .hasOnlyElementsOfType(ConfigurationUpdate.class)
        .hasSize(1);
  }

  @Test
  void the_leader_is_confirmed_for_the_time_of_the_heartbeat_that_its_quorum_answered() {
    hold(1);
    Instant sent = now;

    now = now.plusMillis(40);
    List<Effect> effects = on(new QuorumConfirmed(sent));

    assertThat(allowed(effects).until()).isEqualTo(sent.plus(MAX_AGE));
  }

  @Test
  void a_leader_that_was_paused_confirms_nothing_when_it_resumes() {
    hold(1);
    on(new QuorumConfirmed(now));

    now = now.plusSeconds(60);

    assertThat(receiveFrom(REQUESTER, new AskConfiguration(9, new Revision(1)))).isEmpty();
  }

  @Test
  void a_requester_that_missed_hundreds_of_changes_gets_one_snapshot() {
    for (int i = 1; i <= FreshnessController.MAX_RETAINED_DELTAS + 10; i++) {
      hold(i);
    }

    List<Effect> effects = receiveFrom(REQUESTER, new AskConfiguration(1, new Revision(2)));

    assertThat(sent(effects, REQUESTER))
        .containsExactly(
            new ConfigurationUpdate(
                List.of(
                    ConfigurationDelta.snapshot(
                        Configurations.withNorth(
                            FreshnessController.MAX_RETAINED_DELTAS + 10, true)))));
  }

  @Test
  void a_requester_that_missed_a_few_changes_gets_only_their_deltas() {
    for (int i = 1; i <= 20; i++) {
      hold(i);
    }
    FreshnessController behind = FreshnessController.create(SOURCE::equals, INTERVAL, MAX_AGE);
    behind.on(new ConfigurationChanged(Configurations.withNorth(17, true)), now);

    List<Effect> effects = receiveFrom(REQUESTER, new AskConfiguration(1, new Revision(17)));
    ConfigurationUpdate update = (ConfigurationUpdate) sent(effects, REQUESTER).get(0);
    List<Effect> adopted = behind.on(new Received(SOURCE, update), now);

    assertThat(update.deltas()).hasSize(3);
    assertThat(adopted)
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
