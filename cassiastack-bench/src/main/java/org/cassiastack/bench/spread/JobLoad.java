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

/** Callers that submit one job after another to each entry until they are closed. */
final class JobLoad implements AutoCloseable {
  private static final int TASKS = 64;
  private static final int CALLERS_FOR_EACH_ENTRY = 4;
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final AtomicLong completedJobs = new AtomicLong();
  private final AtomicLong failedJobs = new AtomicLong();
  private final Disposable.Composite callers = Disposables.composite();

  private JobLoad() {}

  static JobLoad start(List<Entry> entries) {
    JobLoad load = new JobLoad();
    for (Entry e : entries) {
      CallerClient client = CallerClient.create(e.callerAddress());
      for (int i = 0; i < CALLERS_FOR_EACH_ENTRY; i++) {
        load.callers.add(load.submitOne(client).repeat().subscribe());
      }
    }
    return load;
  }

  long completedJobs() {
    return completedJobs.get();
  }

  long failedJobs() {
    return failedJobs.get();
  }

  @Override
  public void close() {
    callers.dispose();
  }

  private Mono<Void> submitOne(CallerClient client) {
    return Mono.defer(() -> client.submit(job()))
        .doOnNext(a -> (a.isComplete() ? completedJobs : failedJobs).incrementAndGet())
        .then()
        .onErrorResume(
            e -> {
              failedJobs.incrementAndGet();
              return Mono.delay(Duration.ofMillis(10)).then();
            });
  }

  private static Job job() {
    List<Task> tasks = new ArrayList<>();
    for (int i = 0; i < TASKS; i++) {
      tasks.add(new Task(i, Payload.ofText("run_ms=20")));
    }
    ThreadLocalRandom random = ThreadLocalRandom.current();
    JobKey key = JobKey.of(Instant.now(), random.nextLong(), random.nextLong());
    return new Job(key, new Customer("ayaz"), SpreadSystem.SERVICE, TIMEOUT, true, tasks);
  }
}
