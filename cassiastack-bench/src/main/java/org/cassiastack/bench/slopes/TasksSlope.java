package org.cassiastack.bench.slopes;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.bench.local.LocalSystem;
import org.cassiastack.bench.local.LocalSystemSpec;
import org.cassiastack.bench.local.LocalSystemSpec.SeparateProcesses;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Payload;
import org.cassiastack.model.Task;
import org.cassiastack.transport.http.CallerClient;
import reactor.core.publisher.Flux;

/**
 * Measures the processor time and memory of an entry and an agent, each in a separate process, by
 * the number of tasks per second. The tasks have a run time of 0 ms.
 */
final class TasksSlope implements Slope {
  private static final int[] TASKS_PER_SECOND = {0, 100, 500, 1_000};
  private static final int TASKS_PER_JOB = 20;
  private static final Duration WARM_UP_TIME = Duration.ofSeconds(8);
  private static final Duration MEASURING_TIME = Duration.ofSeconds(10);

  private long lastKey;

  @Override
  public void measure(PrintStream out) throws Exception {
    LocalSystemSpec spec =
        new LocalSystemSpec(1, "ice", List.of("ayaz"), 1, 8, List.of(1.0), SeparateProcesses.ALL);
    try (LocalSystem system = LocalSystem.start(spec)) {
      system.awaitMinions();
      for (int tasksPerSecond : TASKS_PER_SECOND) {
        measurePoint(system, tasksPerSecond, out);
      }
    }
  }

  private void measurePoint(LocalSystem system, int tasksPerSecond, PrintStream out)
      throws Exception {
    CallerClient client = CallerClient.create(system.callerAddresses().get(0));
    Flux<Object> jobs = Flux.never();
    if (tasksPerSecond > 0) {
      Duration jobInterval = Duration.ofNanos(1_000_000_000L * TASKS_PER_JOB / tasksPerSecond);
      jobs =
          Flux.interval(jobInterval)
              .onBackpressureDrop()
              .flatMap(i -> client.submit(newJob(system)), Integer.MAX_VALUE)
              .cast(Object.class);
    }
    var subscription = jobs.subscribe();
    Thread.sleep(WARM_UP_TIME.toMillis());
    long entryPid = system.processId("entry-0");
    long agentPid = system.processId("agent-0");
    long startsBefore = system.minions().get(0).startCount();
    ProcessUsage entryBefore = ProcessUsage.of(entryPid);
    ProcessUsage agentBefore = ProcessUsage.of(agentPid);
    Thread.sleep(MEASURING_TIME.toMillis());
    ProcessUsage entryAfter = ProcessUsage.of(entryPid);
    ProcessUsage agentAfter = ProcessUsage.of(agentPid);
    subscription.dispose();
    out.printf(
        "%d tasks/s requested, %d started in %d s: entry %d ms, %d KB; agent %d ms, %d KB%n",
        tasksPerSecond,
        system.minions().get(0).startCount() - startsBefore,
        MEASURING_TIME.toSeconds(),
        entryAfter.processorMillisSince(entryBefore),
        entryAfter.residentKilobytes(),
        agentAfter.processorMillisSince(agentBefore),
        agentAfter.residentKilobytes());
  }

  private Job newJob(LocalSystem system) {
    List<Task> tasks = new ArrayList<>();
    for (int i = 0; i < TASKS_PER_JOB; i++) {
      tasks.add(new Task(i, Payload.ofText("run_ms=0")));
    }
    lastKey++;
    JobKey key = JobKey.of(Instant.now(), lastKey, lastKey);
    return new Job(
        key, new Customer("ayaz"), system.service(), Duration.ofSeconds(10), true, tasks);
  }
}
