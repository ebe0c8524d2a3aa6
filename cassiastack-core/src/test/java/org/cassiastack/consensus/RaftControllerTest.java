package org.cassiastack.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import org.cassiastack.controller.ClockLeaped;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.junit.jupiter.api.Test;

class RaftControllerTest {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final MemberId SELF = member("c0", 1);
  private static final MemberId SECOND = member("c1", 2);
  private static final MemberId THIRD = member("c2", 3);
  private static final MemberSet MEMBERS = MemberSet.ofVoters(List.of(SELF, SECOND, THIRD));
  private static final LogEntry FIRST = LogEntry.members(1, 1, MEMBERS);
  private static final RaftSettings SETTINGS =
      RaftSettings.of(List.of(SELF.node(), SECOND.node(), THIRD.node()));

  private RaftController controller = recovered(1, FIRST);
  private Instant now = START;
  private long lastSequence;

  @Test
  void grants_no_vote_before_the_vote_is_durable() {
    on(new Tick());
    advanceTime(SETTINGS.electionTimeout());

    List<Effect> effects = receive(new VoteRequest(SECOND, SELF, 2, 1, 1, false));

    assertThat(messages(effects)).isEmpty();
    assertThat(messages(sync(effects)))
        .containsExactly(new VoteReply(SELF, SECOND, 2, true, false));
  }

  @Test
  void grants_only_one_vote_per_term_across_a_restart() {
    controller =
        RaftController.create(
            SETTINGS,
            new RecoveredLog(SELF, new HardState(2, SECOND), null, List.of(FIRST)),
            new Random(1));
    on(new Tick());
    advanceTime(SETTINGS.electionTimeout());

    List<Effect> effects = receive(new VoteRequest(THIRD, SELF, 2, 1, 1, false));

    assertThat(messages(effects)).containsExactly(new VoteReply(SELF, THIRD, 2, false, false));
  }

  @Test
  void grants_no_vote_right_after_a_start_because_a_lease_may_not_have_expired() {
    List<Effect> effects = receive(new VoteRequest(SECOND, SELF, 2, 1, 1, false));

    assertThat(messages(effects)).containsExactly(new VoteReply(SELF, SECOND, 1, false, false));
  }

  @Test
  void grants_no_vote_while_it_is_in_contact_with_a_leader() {
    on(new Tick());
    advanceTime(SETTINGS.electionTimeout().multipliedBy(3).dividedBy(4));
    sync(receive(new AppendRequest(THIRD, SELF, 2, now, 1, 1, 1, List.of())));
    advanceTime(SETTINGS.electionTimeout().dividedBy(2));

    List<Effect> effects = receive(new VoteRequest(SECOND, SELF, 3, 9, 2, false));

    assertThat(messages(effects)).containsExactly(new VoteReply(SELF, SECOND, 2, false, false));
  }

  @Test
  void grants_no_vote_after_a_leap_of_its_clock_while_the_leader_may_hold_its_lease() {
    on(new Tick());
    advanceTime(SETTINGS.electionTimeout());
    sync(receive(new AppendRequest(THIRD, SELF, 2, now, 1, 1, 1, List.of())));
    Duration leap = SETTINGS.electionTimeout().multipliedBy(3);
    advanceTime(leap);
    on(new ClockLeaped(leap));

    List<Effect> effects = receive(new VoteRequest(SECOND, SELF, 3, 9, 2, false));

    assertThat(messages(effects)).containsExactly(new VoteReply(SELF, SECOND, 2, false, false));
  }

  @Test
  void waits_longer_for_an_election_when_two_leaders_were_lost_soon_after_theirs() {
    Duration timeout = SETTINGS.electionTimeout();
    on(new Tick());
    for (long term = 2; term <= 3; term++) {
      sync(receive(new AppendRequest(SECOND, SELF, term, now, 1, 1, 1, List.of())));
      advanceTime(timeout.multipliedBy(2));
      on(new Tick());
    }
    sync(receive(new AppendRequest(THIRD, SELF, 4, now, 1, 1, 1, List.of())));
    advanceTime(timeout.multipliedBy(2).minusMillis(1));

    List<Effect> effects = on(new Tick());

    assertThat(messages(effects)).noneMatch(VoteRequest.class::isInstance);
  }

  @Test
  void refuses_a_candidate_whose_log_is_behind() {
    controller = recovered(3, FIRST, LogEntry.noOp(2, 3));
    on(new Tick());
    advanceTime(SETTINGS.electionTimeout());

    List<Effect> effects = receive(new VoteRequest(SECOND, SELF, 4, 5, 2, false));

    assertThat(messages(effects)).containsExactly(new VoteReply(SELF, SECOND, 4, false, false));
  }

  @Test
  void acknowledges_entries_only_once_they_are_durable() {
    LogEntry entry = LogEntry.noOp(2, 1);

    List<Effect> effects =
        receive(new AppendRequest(SECOND, SELF, 1, START, 1, 1, 1, List.of(entry)));

    assertThat(messages(effects)).isEmpty();
    assertThat(messages(sync(effects)))
        .containsExactly(new AppendReply(SELF, SECOND, 1, START, true, 2));
  }

  @Test
  void ignores_messages_to_an_earlier_data_folder_of_its_node() {
    MemberId earlier = member("c0", 99);

    List<Effect> effects =
        receive(new AppendRequest(SECOND, earlier, 1, START, 1, 1, 1, List.of()));

    assertThat(messages(effects)).isEmpty();
  }

  @Test
  void a_leader_commits_entries_of_earlier_terms_only_with_an_entry_of_its_own_term() {
    LogEntry earlier = LogEntry.command(2, 2, new UUID(7, 7), Payload.ofText("x"));
    controller = recovered(3, FIRST, earlier);
    elect();

    List<Effect> afterReplyForEarlierTerm = receive(new AppendReply(SECOND, SELF, 4, now, true, 2));
    List<Effect> afterReplyForOwnTerm = receive(new AppendReply(SECOND, SELF, 4, now, true, 3));

    assertThat(raised(afterReplyForEarlierTerm)).noneMatch(e -> e instanceof CommandCommitted);
    assertThat(raised(afterReplyForOwnTerm))
        .contains(new CommandCommitted(2, new UUID(7, 7), Payload.ofText("x")))
        .contains(new LeaderChanged(4, SELF.node(), true));
  }

  @Test
  void a_leader_without_a_quorum_steps_down() {
    controller = recovered(3, FIRST);
    elect();
    receive(new AppendReply(SECOND, SELF, 4, now, true, 2));

    advanceTime(SETTINGS.electionTimeout().plusMillis(1));
    List<Effect> effects = on(new Tick());

    assertThat(raised(effects)).contains(new LeaderChanged(4, null, false));
  }

  @Test
  void a_lease_starts_when_the_heartbeat_was_sent_and_not_when_it_was_answered() {
    controller = recovered(3, FIRST);
    elect();
    Instant sent = now;
    advanceTime(Duration.ofMillis(300));

    List<Effect> effects = receive(new AppendReply(SECOND, SELF, 4, sent, true, 2));

    assertThat(raised(effects)).contains(new LeaseExtended(4, sent.plus(SETTINGS.leaseDuration())));
  }

  @Test
  void a_new_leader_has_a_lease_as_soon_as_it_is_ready_even_if_its_own_write_completes_last() {
    controller = recovered(3, FIRST);
    on(new Tick());
    advanceTime(SETTINGS.electionTimeout().multipliedBy(2));
    on(new Tick());
    sync(receive(new VoteReply(SECOND, SELF, 4, true, true)));
    receive(new VoteReply(SECOND, SELF, 4, true, false));
    receive(new AppendReply(SECOND, SELF, 4, now, true, 2));

    List<Effect> effects = on(new Persisted(lastSequence));

    assertThat(raised(effects))
        .contains(new LeaderChanged(4, SELF.node(), true))
        .contains(new LeaseExtended(4, now.plus(SETTINGS.leaseDuration())));
  }

  @Test
  void sends_at_most_the_maximum_number_of_unanswered_messages() {
    controller = recovered(3, FIRST);
    elect();
    receive(new AppendReply(SECOND, SELF, 4, now, true, 2));
    List<Effect> effects = new ArrayList<>();

    for (int i = 0; i < 3 * SETTINGS.maxInFlight(); i++) {
      effects.addAll(on(new ProposeCommand(new UUID(1, i), Payload.EMPTY)));
    }

    assertThat(messages(effects))
        .filteredOn(m -> m instanceof AppendRequest r && r.to().equals(SECOND))
        .hasSize(SETTINGS.maxInFlight());
  }

  @Test
  void ignores_all_events_once_its_storage_has_failed() {
    on(new StorageFailed("disk full"));

    List<Effect> effects = receive(new AppendRequest(SECOND, SELF, 1, START, 1, 1, 1, List.of()));

    assertThat(effects).isEmpty();
  }

  @Test
  void a_reply_to_a_greeting_of_an_earlier_data_folder_does_not_bootstrap_the_log() {
    controller = RaftController.create(SETTINGS, RecoveredLog.empty(SELF), new Random(1));
    MemberId earlier = member("c0", 99);

    List<Effect> effects = new ArrayList<>();
    effects.addAll(on(new Received(SECOND.node(), new MemberGreeting(SECOND, true, earlier))));
    effects.addAll(on(new Received(THIRD.node(), new MemberGreeting(THIRD, true, SELF))));

    assertThat(effects).noneMatch(e -> e instanceof Persist);
  }

  @Test
  void bootstraps_the_log_with_the_listed_nodes_that_have_storage() {
    controller = RaftController.create(SETTINGS, RecoveredLog.empty(SELF), new Random(1));
    on(new Received(SECOND.node(), new GreetingWithoutLog(SECOND.node(), SELF, null)));

    List<Effect> effects = on(new Received(THIRD.node(), new MemberGreeting(THIRD, true, SELF)));

    assertThat(persistedMembers(effects)).containsExactly(MemberSet.ofVoters(List.of(SELF, THIRD)));
  }

  @Test
  void a_designated_founder_bootstraps_the_log_when_no_listed_node_has_storage() {
    MemberId unlisted = member("c9", 9);
    controller =
        RaftController.create(
            SETTINGS.withJoinPolicy(JoinPolicy.unlistedAllowed(true, 3, Duration.ofSeconds(2))),
            RecoveredLog.empty(unlisted),
            new Random(1));
    List<Effect> before = new ArrayList<>();
    for (MemberId listed : List.of(SECOND, THIRD)) {
      GreetingWithoutLog g = new GreetingWithoutLog(listed.node(), unlisted, unlisted);
      before.addAll(on(new Received(listed.node(), g)));
    }

    List<Effect> effects =
        on(new Received(SELF.node(), new GreetingWithoutLog(SELF.node(), unlisted, unlisted)));

    assertThat(before).noneMatch(e -> e instanceof Persist);
    assertThat(persistedMembers(effects)).containsExactly(MemberSet.ofVoters(List.of(unlisted)));
  }

  private static List<MemberSet> persistedMembers(List<Effect> effects) {
    return effects.stream()
        .filter(e -> e instanceof Persist)
        .flatMap(e -> ((Persist) e).entries().stream())
        .map(LogEntry::members)
        .toList();
  }

  private void elect() {
    on(new Tick());
    advanceTime(SETTINGS.electionTimeout().multipliedBy(2));
    on(new Tick());
    sync(receive(new VoteReply(SECOND, SELF, 4, true, true)));
    sync(receive(new VoteReply(SECOND, SELF, 4, true, false)));
  }

  private static RaftController recovered(long term, LogEntry... entries) {
    return RaftController.create(
        SETTINGS,
        new RecoveredLog(SELF, new HardState(term, null), null, List.of(entries)),
        new Random(1));
  }

  private static MemberId member(String node, long folder) {
    return new MemberId(new NodeId(node), new UUID(0, folder));
  }

  private void advanceTime(Duration time) {
    now = now.plus(time);
  }

  private List<Effect> receive(RaftMessage m) {
    return on(new Received(m.from().node(), m));
  }

  private List<Effect> on(Event event) {
    List<Effect> effects = controller.on(event, now);
    for (Effect e : effects) {
      lastSequence = e instanceof Persist p ? p.sequence() : lastSequence;
    }
    return effects;
  }

  /**
   * Completes all writes that were requested so far, and those that result from completing them.
   */
  private List<Effect> sync(List<Effect> effects) {
    List<Effect> all = new ArrayList<>();
    List<Effect> last = effects;
    while (last.stream().anyMatch(e -> e instanceof Persist)) {
      last = on(new Persisted(lastSequence));
      all.addAll(last);
    }
    return all;
  }

  private static List<Message> messages(List<Effect> effects) {
    return effects.stream()
        .filter(e -> e instanceof Send)
        .<Message>map(e -> ((Send) e).message())
        .toList();
  }

  private static List<Event> raised(List<Effect> effects) {
    return effects.stream()
        .filter(e -> e instanceof Raise)
        .<Event>map(e -> ((Raise) e).event())
        .toList();
  }
}
