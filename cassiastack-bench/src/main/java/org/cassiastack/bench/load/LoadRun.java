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
 * Sends the jobs of a plan at their intended arrival times, independently of earlier answers.
 *
 * <p>Job times are measured from the intended arrival, not from the time of sending, so that a
 * stall of the sender or of the system is fully included.
 */
final class LoadRun {
  private static final Duration GRACE_AFTER_TIMEOUT = Duration.ofSeconds(10);

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
    List<InetSocketAddress> callerAddresses = system.callerAddresses();
    this.clients = callerAddresses.stream().map(CallerClient::create).toList();
  }

  /**
   * Sends the jobs of a plan and waits until each call has ended, or until the timeout of a job and
   * a grace period have passed since the last arrival.
   *
   * @param plan the jobs
   * @param idealJobTimes the ideal job time of each job, in the order of the plan
   * @param script the actions to perform on the system during the run
   * @return the recorder of all answers
   */
  LoadRecorder run(LoadPlan plan, List<Duration> idealJobTimes, Script script)
      throws InterruptedException {
    CountDownLatch unfinished = new CountDownLatch(plan.jobs().size());
    ScheduledExecutorService sender = Executors.newSingleThreadScheduledExecutor();
    ScheduledExecutorService background = Executors.newScheduledThreadPool(2);
    long startNanos = System.nanoTime();
    Instant startTime = Instant.now();
    for (PlannedJob planned : plan.jobs()) {
      Job job =
          planned.toJob(service, timeout, startTime.plus(planned.arrivalOffset()), startNanos);
      Runnable send =
          () -> send(planned, job, idealJobTimes.get(planned.number()), startNanos, unfinished);
      sender.schedule(send, planned.arrivalOffset().toNanos(), TimeUnit.NANOSECONDS);
    }
    script.steps().forEach(step -> schedule(background, step));
    background.scheduleAtFixedRate(this::printProgress, 1, 1, TimeUnit.SECONDS);
    Duration lastArrival = plan.jobs().get(plan.jobs().size() - 1).arrivalOffset();
    unfinished.await(
        lastArrival.plus(timeout).plus(GRACE_AFTER_TIMEOUT).toMillis(), TimeUnit.MILLISECONDS);
    sender.shutdownNow();
    background.shutdownNow();
    return recorder;
  }

  private void send(
      PlannedJob planned,
      Job job,
      Duration idealJobTime,
      long startNanos,
      CountDownLatch unfinished) {
    recorder.recordArrival();
    clients
        .get(planned.number() % clients.size())
        .submit(job)
        .doFinally(signal -> unfinished.countDown())
        .subscribe(
            answer -> {
              Duration sinceStart = Duration.ofNanos(System.nanoTime() - startNanos);
              Duration jobTime = sinceStart.minus(planned.arrivalOffset());
              recorder.recordAnswer(job, answer, jobTime, idealJobTime, sinceStart.toNanos());
            },
            recorder::recordFailure);
  }

  private void schedule(ScheduledExecutorService background, Script.Step step) {
    background.schedule(() -> perform(step), step.offset().toNanos(), TimeUnit.NANOSECONDS);
  }

  private void perform(Script.Step step) {
    out.printf("  %.1f s: %s%n", step.offset().toMillis() / 1e3, step.text());
    try {
      step.action().run(system);
    } catch (CassiaException e) {
      out.println("  refused: " + e.refusal().message());
    }
  }

  private void printProgress() {
    Point point = recorder.endSecond(system.taskStarts());
    out.printf(
        "  %3d s: %d arrived, %d answered, %d task starts/s, job time p50 %.1f ms p99 %.1f ms%n",
        point.second(),
        point.arrived(),
        point.answered(),
        point.tasksStarted(),
        point.p50(),
        point.p99());
  }
}
