package org.cassiastack.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class FailoverTimeTest {
  private static final int RUNS = 200;
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  @Test
  void a_killed_leader_is_replaced_within_five_election_timeouts() {
    List<Long> millis = new ArrayList<>();
    for (int seed = 0; seed < RUNS; seed++) {
      millis.add(timeWithoutLeader(FakeCluster.ofThree(seed)).toMillis());
    }

    millis.sort(null);
    long timeout = FakeCluster.ofThree(0).settings().electionTimeout().toMillis();
    assertThat(millis.get(RUNS - 1)).isLessThan(5 * timeout);
  }

  private static Duration timeWithoutLeader(FakeCluster cluster) {
    FakeMember killed = cluster.awaitLeader();
    cluster.runUntil(cluster::allMembersAreVoters, TIMEOUT);
    killed.crash();
    Duration start = cluster.elapsed();
    assertThat(cluster.runUntil(() -> cluster.leader() != null, TIMEOUT)).isTrue();
    return cluster.elapsed().minus(start);
  }
}
