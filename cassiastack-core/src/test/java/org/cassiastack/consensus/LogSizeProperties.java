package org.cassiastack.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import java.util.UUID;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cassiastack.model.Payload;

/** Properties of the size of the log, over random sizes of its commands and random restarts. */
class LogSizeProperties {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final int COMMANDS = 40;
  private static final int MAX_COMMAND_BYTES = 1_500;

  /** Guards against a log that outgrows the heap before it has enough entries for a snapshot. */
  @Property(tries = 50, seed = "31")
  void the_log_of_each_member_stays_within_its_bound_in_bytes(@ForAll long seed) {
    Random random = new Random(seed);
    FakeCluster cluster = FakeCluster.ofThree(seed);
    for (int i = 0; i < COMMANDS; i++) {
      FakeMember leader = cluster.awaitLeader();
      Payload command = Payload.wrap(new byte[random.nextInt(MAX_COMMAND_BYTES)]);
      UUID proposal = cluster.propose(leader, command);
      cluster.runUntil(() -> cluster.invariants().isCommitted(proposal), TIMEOUT);
      if (random.nextInt(8) == 0) {
        FakeMember restarted = cluster.members().get(random.nextInt(3));
        restarted.crash();
        restarted.start();
      }
    }
    cluster.run(Duration.ofSeconds(5));

    assertThat(cluster.members())
        .allSatisfy(
            m -> assertThat(logBytes(m)).isLessThan(FakeCluster.MAX_LOG_BYTES + MAX_COMMAND_BYTES));
  }

  private static long logBytes(FakeMember member) {
    return member.disk().recover().entries().stream().mapToLong(e -> e.command().size()).sum();
  }
}
