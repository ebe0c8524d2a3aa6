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

/**
 * Measures the processor time and memory of an entry, in a separate process, by the number of
 * agents. The agents run no tasks and only announce minions.
 */
final class AgentsSlope implements Slope {
  private static final int[] AGENT_COUNTS = {10, 100, 300};
  private static final Duration SETTLING_TIME = Duration.ofSeconds(5);
  private static final Duration MEASURING_TIME = Duration.ofSeconds(10);
  private static final int FRAME_LENGTH_BYTES = 4;

  @Override
  public void measure(PrintStream out) throws Exception {
    out.printf(
        "an announcement and its welcome: %d bytes in frames%n", announcementExchangeBytes());
    for (int agents : AGENT_COUNTS) {
      LocalSystemSpec spec =
          new LocalSystemSpec(
              1,
              "ice",
              List.of("ayaz"),
              3,
              8,
              Collections.nCopies(agents, 1.0),
              SeparateProcesses.ENTRIES);
      try (LocalSystem system = LocalSystem.start(spec)) {
        system.awaitMinions();
        Thread.sleep(SETTLING_TIME.toMillis());
        long pid = system.processId("entry-0");
        ProcessUsage before = ProcessUsage.of(pid);
        Thread.sleep(MEASURING_TIME.toMillis());
        ProcessUsage after = ProcessUsage.of(pid);
        double corePercent = 100.0 * after.processorMillisSince(before) / MEASURING_TIME.toMillis();
        out.printf(
            "%d agents: entry %.2f %% of a core, %d KB resident%n",
            agents, corePercent, after.residentKilobytes());
      }
    }
  }

  private static int announcementExchangeBytes() throws MalformedMessageException {
    MessageCodec codec = MessageCodec.create();
    FailureDomain domain = new FailureDomain("domain-1");
    Worker worker = new Worker("worker-100", "rack-33", domain, 32, 65_536);
    Minion minion = new Minion(new MinionId("minion-100"), new ServiceName("ice"), worker, 8, 64);
    Incarnation incarnation = Incarnation.startedAt(Instant.now());
    Announce announcement =
        new Announce(new NodeId("agent-100"), incarnation, 1, false, List.of(minion));
    int announceBytes = codec.encode(announcement).length;
    int welcomeBytes = codec.encode(new Welcome(new NodeId("entry-0"), 1)).length;
    return announceBytes + welcomeBytes + 2 * FRAME_LENGTH_BYTES;
  }
}
