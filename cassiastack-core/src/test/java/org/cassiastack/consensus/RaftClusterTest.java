package org.cassiastack.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.UUID;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RaftClusterTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final FakeCluster cluster = FakeCluster.ofThree(42);

  @BeforeEach
  void bootstrap_a_log_of_three_members() {
    cluster.awaitLeader();
    assertThat(cluster.runUntil(cluster::allMembersAreVoters, TIMEOUT)).isTrue();
  }

  @Test
  void an_isolated_leader_steps_down_and_its_proposals_replace_no_committed_command() {
    FakeMember old = cluster.awaitLeader();
    UUID before = commit(old);
    cluster.isolate(old);
    UUID uncommitted = cluster.propose(old);

    assertThat(cluster.runUntil(() -> !old.leaderView().leading(), TIMEOUT)).isTrue();
    assertThat(cluster.runUntil(() -> hasOtherLeader(old), TIMEOUT)).isTrue();
    UUID after = commit(cluster.leader());
    cluster.restoreNetwork();
    assertThat(cluster.runUntil(() -> allStatesEqual(), TIMEOUT)).isTrue();

    assertThat(cluster.invariants().isCommitted(before)).isTrue();
    assertThat(cluster.invariants().isCommitted(after)).isTrue();
    assertThat(cluster.invariants().isCommitted(uncommitted)).isFalse();
  }

  @Test
  void a_paused_leader_commits_nothing_when_it_resumes() {
    FakeMember old = cluster.awaitLeader();
    old.pause();
    assertThat(cluster.runUntil(() -> hasOtherLeader(old), TIMEOUT)).isTrue();
    commit(cluster.leader());
    UUID uncommitted = cluster.propose(old);

    boolean believedToLead = old.leaderView().leading();
    old.resume();
    assertThat(cluster.runUntil(() -> allStatesEqual(), TIMEOUT)).isTrue();

    assertThat(believedToLead).isTrue();
    assertThat(old.localNow()).isAfter(old.leaseUntil());
    assertThat(cluster.invariants().isCommitted(uncommitted)).isFalse();
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
  void a_leader_that_stops_as_planned_chooses_a_responsive_successor() {
    FakeMember old = cluster.awaitLeader();
    FakeMember unresponsive = cluster.anyExcept(old);
    Duration timeout = cluster.settings().electionTimeout();
    unresponsive.crash();
    cluster.run(timeout.multipliedBy(2));
    commit(old);

    old.on(new HandLeadershipOver());
    boolean replaced = cluster.runUntil(() -> hasOtherLeader(old), timeout.dividedBy(2));

    assertThat(replaced).isTrue();
  }

  @Test
  void a_member_that_lost_its_disk_is_replaced_and_then_another_member_may_crash() {
    FakeMember leader = cluster.awaitLeader();
    UUID before = commit(leader);
    FakeMember replaced = cluster.anyExcept(leader);
    replaced.loseDisk();
    replaced.start();

    assertThat(cluster.runUntil(cluster::allMembersAreVoters, TIMEOUT)).isTrue();
    cluster.awaitLeader().crash();
    FakeMember next = cluster.awaitLeader();
    UUID after = commit(next);

    assertThat(cluster.invariants().isCommitted(before)).isTrue();
    assertThat(cluster.invariants().isCommitted(after)).isTrue();
    assertThat(next.state()).isNotEmpty();
  }

  @Test
  void a_member_that_lost_its_disk_does_not_vote_before_it_is_a_voter_again() {
    FakeMember leader = cluster.awaitLeader();
    FakeMember diskless = cluster.anyExcept(leader);
    FakeMember third = cluster.anyExcept(leader, diskless);
    commit(leader);
    diskless.loseDisk();
    leader.crash();
    diskless.start();

    boolean elected = cluster.runUntil(() -> third.leaderView().leading(), TIMEOUT);

    assertThat(elected).isFalse();
    assertThat(diskless.leaderView().leading()).isFalse();
  }

  @Test
  void a_member_that_is_reconnected_does_not_depose_the_leader() {
    FakeMember leader = cluster.awaitLeader();
    FakeMember isolated = cluster.anyExcept(leader);
    long term = leader.leaderView().term();
    cluster.isolate(isolated);
    cluster.run(TIMEOUT);

    cluster.restoreNetwork();
    cluster.run(TIMEOUT);

    assertThat(leader.leaderView().leading()).isTrue();
    assertThat(leader.leaderView().term()).isEqualTo(term);
    assertThat(isolated.leaderView()).isEqualTo(new LeaderChanged(term, leader.node(), false));
  }

  @Test
  void a_follower_refuses_a_proposal_and_knows_the_leader() {
    FakeMember leader = cluster.awaitLeader();
    FakeMember follower = cluster.anyExcept(leader);

    UUID proposal = cluster.propose(follower);

    assertThat(follower.refused()).containsExactly(proposal);
    assertThat(follower.leaderView().leader()).isEqualTo(leader.node());
  }

  @Test
  void a_member_that_missed_hundreds_of_entries_catches_up_by_snapshot() {
    FakeMember leader = cluster.awaitLeader();
    FakeMember stopped = cluster.anyExcept(leader);
    stopped.crash();
    for (int i = 0; i < 300; i++) {
      commit(leader);
    }

    stopped.start();

    assertThat(cluster.runUntil(() -> allStatesEqual(), TIMEOUT)).isTrue();
    assertThat(stopped.disk().recover().snapshot()).isNotNull();
  }

  private UUID commit(FakeMember leader) {
    UUID proposal = cluster.propose(leader);
    assertThat(cluster.runUntil(() -> cluster.invariants().isCommitted(proposal), TIMEOUT))
        .isTrue();
    return proposal;
  }

  private boolean hasOtherLeader(FakeMember excluded) {
    return cluster.members().stream().anyMatch(m -> m != excluded && m.leaderView().leading());
  }

  private boolean allStatesEqual() {
    return cluster.members().stream().map(FakeMember::state).distinct().count() == 1;
  }
}
