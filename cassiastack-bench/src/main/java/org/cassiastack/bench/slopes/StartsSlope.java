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

/** Bytes that an agent holds for each start that it remembers. */
final class StartsSlope implements Slope {
  private static final int[] STARTS = {10_000, 50_000};
  private static final int PAYLOAD_BYTES = 32;
  private static final int CAPACITY = 1_000_000;
  private static final Duration RETENTION = Duration.ofMinutes(10);

  @Override
  public void measure(PrintStream out) {
    for (int starts : STARTS) {
      Instant now = Instant.now();
      Incarnation incarnation = Incarnation.startedAt(now);
      Worker worker = new Worker("worker-1", "rack-1", new FailureDomain("domain-1"), 32, 65_536);
      Minion minion = new Minion(new MinionId("minion-1"), new ServiceName("ice"), worker, 8, 64);
      StartGuard guard = StartGuard.create(incarnation, List.of(minion), RETENTION, CAPACITY);
      guard.on(new StartsAllowed(Instant.MAX, configuration(worker.failureDomain())), now);
      long empty = HeapUsage.bytes();
      for (int i = 0; i < starts; i++) {
        runOne(guard, i, incarnation, now);
      }
      out.printf(
          "%d starts remembered with %d bytes in and out: %d bytes each%n",
          starts, PAYLOAD_BYTES, (HeapUsage.bytes() - empty) / starts);
      // Keeps the guard reachable while the heap is looked at.
      runOne(guard, starts, incarnation, now);
    }
  }

  private static Configuration configuration(FailureDomain domain) {
    FailureDomainSpec in = new FailureDomainSpec(domain, "region-1", true);
    return new Configuration(new Revision(1), Map.of(), Map.of(domain, in), Map.of());
  }

  private static void runOne(StartGuard guard, int number, Incarnation incarnation, Instant now) {
    JobId job = new JobId(new Customer("ayaz"), JobKey.of(now, number, number));
    TaskId task = new TaskId(job, 0);
    Payload input = Payload.wrap(new byte[PAYLOAD_BYTES]);
    Dispatch d =
        new Dispatch(
            task,
            new Epoch(1),
            1,
            incarnation,
            new MinionId("minion-1"),
            input,
            Duration.ofMinutes(1));
    guard.on(new Received(new NodeId("entry-1"), d), now);
    Payload output = Payload.wrap(new byte[PAYLOAD_BYTES]);
    guard.on(new TaskStopped(task, ResultCode.COMPLETE, output), now);
  }
}
