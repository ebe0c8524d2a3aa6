package org.cassiastack.bench.slopes;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.List;
import org.cassiastack.bench.local.LocalSystem;
import org.cassiastack.bench.local.LocalSystemSpec;
import org.cassiastack.bench.local.LocalSystemSpec.SeparateProcesses;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.Minion;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Worker;
import org.cassiastack.protocol.Announce;
import org.cassiastack.protocol.Welcome;
import org.cassiastack.transport.codec.MalformedMessageException;
import org.cassiastack.transport.codec.MessageCodec;

/** What agents that only announce themselves cost an entry in a process of its own. */
final class AgentsSlope implements Slope {
  private static final int[] AGENTS = {10, 100, 300};
  private static final Duration SETTLE = Duration.ofSeconds(5);
  private static final Duration WATCH = Duration.ofSeconds(10);
  private static final int LENGTH_BYTES = 4;

  @Override
  public void measure(PrintStream out) throws Exception {
    out.printf("an announcement and its welcome: %d bytes in frames%n", exchangeBytes());
    for (int agents : AGENTS) {
      LocalSystemSpec shape =
          new LocalSystemSpec(
              1,
              "ice",
              List.of("ayaz"),
              3,
              8,
              Collections.nCopies(agents, 1.0),
              SeparateProcesses.ENTRIES);
      try (LocalSystem system = LocalSystem.start(shape)) {
        system.awaitMinions();
        Thread.sleep(SETTLE.toMillis());
        long pid = system.processId("entry-0");
        ProcessUsage before = ProcessUsage.of(pid);
        Thread.sleep(WATCH.toMillis());
        ProcessUsage after = ProcessUsage.of(pid);
        double percent = 100.0 * after.processorMillisSince(before) / WATCH.toMillis();
        out.printf(
            "%d agents: entry %.2f %% of a core, %d KB resident%n",
            agents, percent, after.residentKilobytes());
      }
    }
  }

  private static int exchangeBytes() throws MalformedMessageException {
    MessageCodec codec = MessageCodec.create();
    FailureDomain domain = new FailureDomain("domain-1");
    Worker worker = new Worker("worker-100", "rack-33", domain, 32, 65_536);
    Minion minion = new Minion(new MinionId("minion-100"), new ServiceName("ice"), worker, 8, 64);
    Incarnation incarnation = Incarnation.startedAt(Instant.now());
    Announce a = new Announce(new NodeId("agent-100"), incarnation, 1, false, List.of(minion));
    int announce = codec.encode(a).length;
    int welcome = codec.encode(new Welcome(new NodeId("entry-0"), 1)).length;
    return announce + welcome + 2 * LENGTH_BYTES;
  }
}
