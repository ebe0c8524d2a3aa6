package org.cassiastack.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.UUID;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RaftClusterTest {
  private static final Duration LONG = Duration.ofSeconds(20);

  private final FakeCluster cluster = FakeCluster.ofThree(42);

  @BeforeEach
  void three_empty_folders_found_a_log() {
    cluster.awaitLeader();
    assertThat(cluster.runUntil(cluster::everyNodeVotes, LONG)).isTrue();
  }

  @Test
  void a_leader_that_is_cut_off_silently_steps_down_and_its_proposals_revert_nothing() {
    FakeMember old = cluster.awaitLeader();
    UUID before = commit(old);
    cluster.isolate(old);
    UUID lost = cluster.propose(old);

    assertThat(cluster.runUntil(() -> !old.leaderView().leading(), LONG)).isTrue();
    assertThat(cluster.runUntil(() -> hasOtherLeader(old), LONG)).isTrue();
    UUID after = commit(cluster.leader());
    cluster.healNetwork();
    assertThat(cluster.runUntil(() -> allEqual(), LONG)).isTrue();

    assertThat(cluster.invariants().isCommitted(before)).isTrue();
    assertThat(cluster.invariants().isCommitted(after)).isTrue();
    assertThat(cluster.invariants().isCommitted(lost)).isFalse();
  }

  @Test
  void a_frozen_leader_that_wakes_commits_nothing() {
    FakeMember old = cluster.awaitLeader();
    old.pause();
    assertThat(cluster.runUntil(() -> hasOtherLeader(old), LONG)).isTrue();
    commit(cluster.leader());
    UUID late = cluster.propose(old);

    boolean believed = old.leaderView().leading();
    old.resume();
    assertThat(cluster.runUntil(() -> allEqual(), LONG)).isTrue();

    assertThat(believed).isTrue();
    assertThat(old.localNow()).isAfter(old.leaseUntil());
    assertThat(cluster.invariants().isCommitted(late)).isFalse();
  }

  @Test
  void a_leader_that_stops_as_planned_is_replaced_before_any_election_timeout() {
    FakeMember old = cluster.awaitLeader();
    UUID before = commit(old);

    old.on(new HandLeadershipOver());
    Duration timeout = cluster.settings().electionTimeout();
    boolean replaced = cluster.runUntil(() -> hasOtherLeader(old), timeout.dividedBy(2));
    UUID after = commit(cluster.leader());

    assertThat(replaced).isTrue();
    assertThat(cluster.invariants().isCommitted(before)).isTrue();
    assertThat(cluster.invariants().isCommitted(after)).isTrue();
  }

  @Test
  void a_leader_that_stops_as_planned_passes_over_a_silent_follower() {
    FakeMember old = cluster.awaitLeader();
    FakeMember silent = cluster.anyExcept(old);
    Duration timeout = cluster.settings().electionTimeout();
    silent.crash();
    cluster.run(timeout.multipliedBy(2));
    commit(old);

    old.on(new HandLeadershipOver());
    boolean replaced = cluster.runUntil(() -> hasOtherLeader(old), timeout.dividedBy(2));

    assertThat(replaced).isTrue();
  }

  @Test
  void a_lost_disk_is_replaced_and_then_a_second_member_may_be_lost() {
    FakeMember leader = cluster.awaitLeader();
    UUID before = commit(leader);
    FakeMember replaced = cluster.anyExcept(leader);
    replaced.loseDisk();
    replaced.start();

    assertThat(cluster.runUntil(cluster::everyNodeVotes, LONG)).isTrue();
    cluster.awaitLeader().crash();
    FakeMember next = cluster.awaitLeader();
    UUID after = commit(next);

    assertThat(cluster.invariants().isCommitted(before)).isTrue();
    assertThat(cluster.invariants().isCommitted(after)).isTrue();
    assertThat(next.state()).isNotEmpty();
  }

  @Test
  void a_lost_disk_does_not_vote_before_it_is_admitted() {
    FakeMember leader = cluster.awaitLeader();
    FakeMember emptied = cluster.anyExcept(leader);
    FakeMember third = cluster.anyExcept(leader, emptied);
    commit(leader);
    emptied.loseDisk();
    leader.crash();
    emptied.start();

    boolean elected = cluster.runUntil(() -> third.leaderView().leading(), LONG);

    assertThat(elected).isFalse();
    assertThat(emptied.leaderView().leading()).isFalse();
  }

  @Test
  void a_member_that_rejoins_does_not_disturb_the_leader() {
    FakeMember leader = cluster.awaitLeader();
    FakeMember away = cluster.anyExcept(leader);
    long term = leader.leaderView().term();
    cluster.isolate(away);
    cluster.run(LONG);

    cluster.healNetwork();
    cluster.run(LONG);

    assertThat(leader.leaderView().leading()).isTrue();
    assertThat(leader.leaderView().term()).isEqualTo(term);
    assertThat(away.leaderView()).isEqualTo(new LeaderChanged(term, leader.node(), false));
  }

  @Test
  void a_proposal_to_a_follower_is_refused_with_the_leader() {
    FakeMember leader = cluster.awaitLeader();
    FakeMember follower = cluster.anyExcept(leader);

    UUID proposal = cluster.propose(follower);

    assertThat(follower.refused()).containsExactly(proposal);
    assertThat(follower.leaderView().leader()).isEqualTo(leader.node());
  }

  @Test
  void a_member_that_missed_hundreds_of_entries_catches_up_by_snapshot() {
    FakeMember leader = cluster.awaitLeader();
    FakeMember away = cluster.anyExcept(leader);
    away.crash();
    for (int i = 0; i < 300; i++) {
      commit(leader);
    }

    away.start();

    assertThat(cluster.runUntil(() -> allEqual(), LONG)).isTrue();
    assertThat(away.disk().recover().snapshot()).isNotNull();
  }

  private UUID commit(FakeMember leader) {
    UUID proposal = cluster.propose(leader);
    assertThat(cluster.runUntil(() -> cluster.invariants().isCommitted(proposal), LONG)).isTrue();
    return proposal;
  }

  private boolean hasOtherLeader(FakeMember than) {
    return cluster.members().stream().anyMatch(m -> m != than && m.leaderView().leading());
  }

  private boolean allEqual() {
    return cluster.members().stream().map(FakeMember::state).distinct().count() == 1;
  }
}
