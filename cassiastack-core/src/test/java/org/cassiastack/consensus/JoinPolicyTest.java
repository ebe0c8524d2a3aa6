package org.cassiastack.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.UUID;
import org.junit.jupiter.api.Test;

/**
 * Tests a log that unlisted nodes may join, as when a failed machine is replaced by a machine with
 * another address.
 */
class JoinPolicyTest {
  private static final Duration VOTER_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int MAX_ELECTIONS = 50;

  private final FakeCluster cluster = FakeCluster.ofThreeWithUnlistedAllowed(7, VOTER_TIMEOUT);

  @Test
  void a_member_on_a_new_node_replaces_a_member_that_crashed() {
    FakeMember leader = cluster.awaitLeader();
    FakeMember crashed = cluster.anyExcept(leader);
    FakeMember third = cluster.anyExcept(leader, crashed);
    UUID before = commit(leader);
    crashed.crash();

    FakeMember joined = cluster.join("c3");
    assertThat(cluster.runUntil(() -> joined.state().equals(leader.state()), TIMEOUT)).isTrue();
    cluster.run(VOTER_TIMEOUT.multipliedBy(2));
    third.crash();
    UUID after = commit(cluster.awaitLeader());

    assertThat(cluster.invariants().isCommitted(before)).isTrue();
    assertThat(cluster.invariants().isCommitted(after)).isTrue();
  }

  @Test
  void a_replaced_member_joins_again_after_its_restart() {
    FakeMember leader = cluster.awaitLeader();
    FakeMember restarted = cluster.anyExcept(leader);
    commit(leader);
    restarted.crash();
    FakeMember joined = cluster.join("c3");
    cluster.runUntil(() -> joined.state().equals(leader.state()), TIMEOUT);
    cluster.run(VOTER_TIMEOUT.multipliedBy(2));

    restarted.start();
    commit(cluster.awaitLeader());

    String state = cluster.awaitLeader().state();
    assertThat(cluster.runUntil(() -> restarted.state().equals(state), TIMEOUT)).isTrue();
  }

  @Test
  void an_unresponsive_voter_is_not_removed_while_no_learner_can_replace_it() {
    FakeMember leader = cluster.awaitLeader();
    FakeMember unresponsive = cluster.anyExcept(leader);
    FakeMember third = cluster.anyExcept(leader, unresponsive);
    unresponsive.crash();
    cluster.run(VOTER_TIMEOUT.multipliedBy(3));

    third.crash();
    UUID uncommitted = cluster.propose(leader);
    cluster.run(TIMEOUT);

    assertThat(cluster.invariants().isCommitted(uncommitted)).isFalse();
  }

  @Test
  void a_further_member_stands_by_while_there_are_enough_voters() {
    FakeMember leader = cluster.awaitLeader();
    commit(leader);

    FakeMember joined = cluster.join("c3");
    cluster.runUntil(() -> joined.state().equals(leader.state()), TIMEOUT);
    cluster.run(VOTER_TIMEOUT.multipliedBy(2));

    assertThat(leader.disk().members().voters()).hasSize(3);
    assertThat(leader.disk().members().learners()).containsExactly(joined.disk().self());
  }

  @Test
  void a_member_that_lost_its_disk_joins_again_while_an_unlisted_node_leads() {
    FakeMember crashed = cluster.anyExcept(cluster.awaitLeader());
    crashed.crash();
    FakeMember unlisted = cluster.join("c3");
    cluster.runUntil(() -> unlisted.disk().members().isVoter(unlisted.disk().self()), TIMEOUT);
    crashed.start();
    FakeMember leader = awaitLeadershipOf(unlisted);
    FakeMember emptied = cluster.anyExcept(leader, crashed);
    emptied.loseDisk();

    emptied.start();
    commit(leader);

    assertThat(cluster.runUntil(() -> emptied.state().equals(leader.state()), TIMEOUT)).isTrue();
  }

  /** Crashes and restarts each other leader until the given member is elected. */
  private FakeMember awaitLeadershipOf(FakeMember member) {
    FakeMember leader = cluster.awaitLeader();
    for (int i = 0; i < MAX_ELECTIONS && leader != member; i++) {
      leader.crash();
      cluster.awaitLeader();
      leader.start();
      leader = cluster.awaitLeader();
    }
    assertThat(leader).isSameAs(member);
    return leader;
  }

  private UUID commit(FakeMember leader) {
    UUID proposal = cluster.propose(leader);
    assertThat(cluster.runUntil(() -> cluster.invariants().isCommitted(proposal), TIMEOUT))
        .isTrue();
    return proposal;
  }
}
