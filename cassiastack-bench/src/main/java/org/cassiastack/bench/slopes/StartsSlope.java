package org.cassiastack.bench.slopes;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.FailureDomainSpec;
import org.cassiastack.configuration.StartsAllowed;
import org.cassiastack.guard.StartGuard;
import org.cassiastack.guard.TaskStopped;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.JobId;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Minion;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.TaskId;
import org.cassiastack.model.Worker;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Received;

/** Measures the memory of an agent's start guard for each task start that the guard retains. */
final class StartsSlope implements Slope {
  private static final int[] START_COUNTS = {10_000, 50_000};
  private static final int PAYLOAD_BYTES = 32;
  private static final int MAX_RETAINED_TASKS = 1_000_000;
  private static final Duration RETENTION = Duration.ofMinutes(10);

  @Override
  public void measure(PrintStream out) {
    for (int starts : START_COUNTS) {
      Instant now = Instant.now();
      Incarnation incarnation = Incarnation.startedAt(now);
      Worker worker = new Worker("worker-1", "rack-1", new FailureDomain("domain-1"), 32, 65_536);
      Minion minion = new Minion(new MinionId("minion-1"), new ServiceName("ice"), worker, 8, 64);
      StartGuard guard =
          StartGuard.create(incarnation, List.of(minion), RETENTION, MAX_RETAINED_TASKS);
      guard.on(new StartsAllowed(Instant.MAX, configuration(worker.failureDomain())), now);
      long emptyBytes = HeapUsage.bytes();
      for (int i = 0; i < starts; i++) {
        runTask(guard, i, incarnation, now);
      }
      out.printf(
          "%d starts retained with %d bytes in and out: %d bytes each%n",
          starts, PAYLOAD_BYTES, (HeapUsage.bytes() - emptyBytes) / starts);
      // Uses the guard once more, so that it stays reachable while heap usage is measured.
      runTask(guard, starts, incarnation, now);
    }
  }

  private static Configuration configuration(FailureDomain domain) {
    FailureDomainSpec inService = new FailureDomainSpec(domain, "region-1", true);
    return new Configuration(new Revision(1), Map.of(), Map.of(domain, inService), Map.of());
  }

  private static void runTask(StartGuard guard, int number, Incarnation incarnation, Instant now) {
    JobId job = new JobId(new Customer("ayaz"), JobKey.of(now, number, number));
    TaskId task = new TaskId(job, 0);
    Payload input = Payload.wrap(new byte[PAYLOAD_BYTES]);
    Dispatch dispatch =
        new Dispatch(
            task,
            new Epoch(1),
            1,
            incarnation,
            new MinionId("minion-1"),
            input,
            Duration.ofMinutes(1));
    guard.on(new Received(new NodeId("entry-1"), dispatch), now);
    Payload output = Payload.wrap(new byte[PAYLOAD_BYTES]);
    guard.on(new TaskStopped(task, ResultCode.COMPLETE, output), now);
  }
}
