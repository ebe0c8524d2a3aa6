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

/** What tasks that take no time cost an entry and an agent, each in a process of its own. */
final class TasksSlope implements Slope {
  private static final int[] TASKS_PER_SECOND = {0, 100, 500, 1_000};
  private static final int TASKS_OF_A_JOB = 20;
  private static final Duration WARM_UP = Duration.ofSeconds(8);
  private static final Duration WATCH = Duration.ofSeconds(10);

  private long lastKey;

  @Override
  public void measure(PrintStream out) throws Exception {
    LocalSystemSpec shape =
        new LocalSystemSpec(1, "ice", List.of("ayaz"), 1, 8, List.of(1.0), SeparateProcesses.ALL);
    try (LocalSystem system = LocalSystem.start(shape)) {
      system.awaitMinions();
      for (int rate : TASKS_PER_SECOND) {
        point(system, rate, out);
      }
    }
  }

  private void point(LocalSystem system, int rate, PrintStream out) throws Exception {
    CallerClient client = CallerClient.create(system.callerAddresses().get(0));
    Flux<Object> load = Flux.never();
    if (rate > 0) {
      Duration gap = Duration.ofNanos(1_000_000_000L * TASKS_OF_A_JOB / rate);
      load =
          Flux.interval(gap)
              .onBackpressureDrop()
              .flatMap(i -> client.submit(job(system)), Integer.MAX_VALUE)
              .cast(Object.class);
    }
    var running = load.subscribe();
    Thread.sleep(WARM_UP.toMillis());
    long entry = system.processId("entry-0");
    long agent = system.processId("agent-0");
    long starts = system.minions().get(0).startCount();
    ProcessUsage entryBefore = ProcessUsage.of(entry);
    ProcessUsage agentBefore = ProcessUsage.of(agent);
    Thread.sleep(WATCH.toMillis());
    ProcessUsage entryAfter = ProcessUsage.of(entry);
    ProcessUsage agentAfter = ProcessUsage.of(agent);
    running.dispose();
    out.printf(
        "%d tasks/s asked, %d started in %d s: entry %d ms, %d KB; agent %d ms, %d KB%n",
        rate,
        system.minions().get(0).startCount() - starts,
        WATCH.toSeconds(),
        entryAfter.processorMillisSince(entryBefore),
        entryAfter.residentKilobytes(),
        agentAfter.processorMillisSince(agentBefore),
        agentAfter.residentKilobytes());
  }

  private Job job(LocalSystem system) {
    List<Task> tasks = new ArrayList<>();
    for (int i = 0; i < TASKS_OF_A_JOB; i++) {
      tasks.add(new Task(i, Payload.ofText("run_ms=0")));
    }
    lastKey++;
    JobKey key = JobKey.of(Instant.now(), lastKey, lastKey);
    return new Job(
        key, new Customer("ayaz"), system.service(), Duration.ofSeconds(10), true, tasks);
  }
}
