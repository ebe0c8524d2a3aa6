package org.cassiastack.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.UUID;
import org.junit.jupiter.api.Test;

/** Logs that any node may join: machines are replaced at other addresses. */
class JoinPolicyTest {
  private static final Duration SILENCE = Duration.ofSeconds(2);
  private static final Duration LONG = Duration.ofSeconds(20);

  private final FakeCluster cluster = FakeCluster.ofThreeWithUnlistedAllowed(7, SILENCE);

  @Test
  void a_member_at_a_new_address_takes_the_place_of_one_that_is_gone() {
    FakeMember leader = cluster.awaitLeader();
    FakeMember gone = cluster.anyExcept(leader);
    FakeMember staying = cluster.anyExcept(leader, gone);
    UUID before = commit(leader);
    gone.crash();

    FakeMember joined = cluster.join("c3");
    assertThat(cluster.runUntil(() -> joined.state().equals(leader.state()), LONG)).isTrue();
    cluster.run(SILENCE.multipliedBy(2));
    staying.crash();
    UUID after = commit(cluster.awaitLeader());

    assertThat(cluster.invariants().isCommitted(before)).isTrue();
    assertThat(cluster.invariants().isCommitted(after)).isTrue();
  }

  @Test
  void a_member_that_was_replaced_is_admitted_again_when_it_comes_back() {
    FakeMember leader = cluster.awaitLeader();
    FakeMember away = cluster.anyExcept(leader);
    commit(leader);
    away.crash();
    FakeMember joined = cluster.join("c3");
    cluster.runUntil(() -> joined.state().equals(leader.state()), LONG);
    cluster.run(SILENCE.multipliedBy(2));

    away.start();
    commit(cluster.awaitLeader());

    String state = cluster.awaitLeader().state();
    assertThat(cluster.runUntil(() -> away.state().equals(state), LONG)).isTrue();
  }

  @Test
  void a_silent_voter_keeps_its_place_while_nobody_can_take_it() {
    FakeMember leader = cluster.awaitLeader();
    FakeMember silent = cluster.anyExcept(leader);
    FakeMember third = cluster.anyExcept(leader, silent);
    silent.crash();
    cluster.run(SILENCE.multipliedBy(3));

    third.crash();
    UUID lost = cluster.propose(leader);
    cluster.run(LONG);

    assertThat(cluster.invariants().isCommitted(lost)).isFalse();
  }

  private UUID commit(FakeMember leader) {
    UUID proposal = cluster.propose(leader);
    assertThat(cluster.runUntil(() -> cluster.invariants().isCommitted(proposal), LONG)).isTrue();
    return proposal;
  }
}
