package org.cassiastack.bench.load;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cassiastack.bench.load.LoadResult.Point;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Job;
import org.cassiastack.model.ServiceName;
import org.cassiastack.transport.http.CallerClient;

/**
 * Sends the jobs of a plan at their intended times, whatever becomes of the ones before.
 *
 * <p>Job times count from the intended arrival, not from the moment of sending, so that a stall of
 * the sender or of the system shows in full.
 */
final class LoadRun {
  private static final Duration PATIENCE_AFTER_TIMEOUT = Duration.ofSeconds(10);

  private final SystemUnderLoad system;
  private final List<CallerClient> clients;
  private final ServiceName service;
  private final Duration timeout;
  private final LoadRecorder recorder = new LoadRecorder();
  private final PrintStream out;

  LoadRun(SystemUnderLoad system, ServiceName service, Duration timeout, PrintStream out) {
    this.system = system;
    this.service = service;
    this.timeout = timeout;
    this.out = out;
    List<InetSocketAddress> entries = system.callerAddresses();
    this.clients = entries.stream().map(CallerClient::create).toList();
  }

  /**
   * Runs a plan to the end.
   *
   * @param plan the jobs
   * @param ideal the ideal time of each job
   * @param script what is done to the system meanwhile
   */
  LoadRecorder run(LoadPlan plan, List<Duration> ideal, Script script) throws InterruptedException {
    CountDownLatch open = new CountDownLatch(plan.jobs().size());
    ScheduledExecutorService sender = Executors.newSingleThreadScheduledExecutor();
    ScheduledExecutorService side = Executors.newScheduledThreadPool(2);
    long begin = System.nanoTime();
    Instant beginInstant = Instant.now();
    for (PlannedJob j : plan.jobs()) {
      Job job = j.toJob(service, timeout, beginInstant.plus(j.arrivalOffset()), begin);
      Runnable send = () -> send(j, job, ideal.get(j.number()), begin, open);
      sender.schedule(send, j.arrivalOffset().toNanos(), TimeUnit.NANOSECONDS);
    }
    script.steps().forEach(s -> schedule(side, s));
    side.scheduleAtFixedRate(this::progress, 1, 1, TimeUnit.SECONDS);
    Duration last = plan.jobs().get(plan.jobs().size() - 1).arrivalOffset();
    open.await(last.plus(timeout).plus(PATIENCE_AFTER_TIMEOUT).toMillis(), TimeUnit.MILLISECONDS);
    sender.shutdownNow();
    side.shutdownNow();
    return recorder;
  }

  private void send(PlannedJob j, Job job, Duration ideal, long begin, CountDownLatch open) {
    recorder.recordArrival();
    clients
        .get(j.number() % clients.size())
        .submit(job)
        .doFinally(signal -> open.countDown())
        .subscribe(
            answer -> {
              Duration sinceBegin = Duration.ofNanos(System.nanoTime() - begin);
              Duration took = sinceBegin.minus(j.arrivalOffset());
              recorder.recordAnswer(job, answer, took, ideal, sinceBegin.toNanos());
            },
            recorder::recordFailure);
  }

  private void schedule(ScheduledExecutorService side, Script.Step step) {
    side.schedule(() -> carryOut(step), step.offset().toNanos(), TimeUnit.NANOSECONDS);
  }

  private void carryOut(Script.Step step) {
    out.printf("  %.1f s: %s%n", step.offset().toMillis() / 1e3, step.text());
    try {
      step.action().run(system);
    } catch (CassiaException e) {
      out.println("  refused: " + e.refusal().message());
    }
  }

  private void progress() {
    Point p = recorder.endSecond(system.taskStarts());
    out.printf(
        "  %3d s: %d arrived, %d answered, %d task starts/s, job time p50 %.1f ms p99 %.1f ms%n",
        p.second(), p.arrived(), p.answered(), p.tasksStarted(), p.p50(), p.p99());
  }
}
