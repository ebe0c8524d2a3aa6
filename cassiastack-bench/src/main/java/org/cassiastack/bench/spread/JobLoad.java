package org.cassiastack.bench.spread;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.cassiastack.daemon.entry.Entry;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Payload;
import org.cassiastack.model.Task;
import org.cassiastack.transport.http.CallerClient;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;

/**
 * Several callers at each entry; a caller submits one job after another until the load is closed.
 */
final class JobLoad implements AutoCloseable {
  private static final int TASKS_PER_JOB = 64;
  private static final int CALLERS_PER_ENTRY = 4;
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final AtomicLong completedJobs = new AtomicLong();
  private final AtomicLong failedJobs = new AtomicLong();
  private final Disposable.Composite callers = Disposables.composite();

  private JobLoad() {}

  /** Starts the callers of each entry. */
  static JobLoad start(List<Entry> entries) {
    JobLoad load = new JobLoad();
    for (Entry entry : entries) {
      CallerClient client = CallerClient.create(entry.callerAddress());
      for (int i = 0; i < CALLERS_PER_ENTRY; i++) {
        load.callers.add(load.submitJob(client).repeat().subscribe());
      }
    }
    return load;
  }

  long completedJobs() {
    return completedJobs.get();
  }

  /** Returns the number of jobs that ended without a complete answer. */
  long failedJobs() {
    return failedJobs.get();
  }

  @Override
  public void close() {
    callers.dispose();
  }

  private Mono<Void> submitJob(CallerClient client) {
    return Mono.defer(() -> client.submit(newJob()))
        .doOnNext(answer -> (answer.isComplete() ? completedJobs : failedJobs).incrementAndGet())
        .then()
        .onErrorResume(
            error -> {
              failedJobs.incrementAndGet();
              return Mono.delay(Duration.ofMillis(10)).then();
            });
  }

  private static Job newJob() {
    List<Task> tasks = new ArrayList<>();
    for (int i = 0; i < TASKS_PER_JOB; i++) {
      tasks.add(new Task(i, Payload.ofText("run_ms=20")));
    }
    ThreadLocalRandom random = ThreadLocalRandom.current();
    JobKey key = JobKey.of(Instant.now(), random.nextLong(), random.nextLong());
    return new Job(key, new Customer("ayaz"), SpreadSystem.SERVICE, TIMEOUT, true, tasks);
  }
}
