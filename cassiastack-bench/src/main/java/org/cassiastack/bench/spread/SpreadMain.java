package org.cassiastack.bench.spread;

import java.io.PrintStream;
import java.time.Duration;
import org.HdrHistogram.Histogram;
import org.cassiastack.daemon.agent.Agent;
import org.cassiastack.model.CassiaException;

/**
 * Measures the propagation of configurations on three entries and their agents.
 *
 * <ul>
 *   <li>{@code spread CHANGES} measures the time until a change is in force at every process.
 *   <li>{@code drain DRAINS} measures, under load, the time from the accepted drain of a failure
 *       domain, which takes the domain out of service, to the last task start in this domain.
 *   <li>{@code bytes AGENTS} measures the traffic of agents without load.
 * </ul>
 *
 * @since 0.1
 */
public final class SpreadMain {
  private static final int AGENTS = 10;

  /** Time from the accepted drain after which a task start in the drained domain counts as late. */
  private static final Duration LATE_AFTER = Duration.ofSeconds(1);

  private static final Duration OUT_OF_SERVICE_TIME = Duration.ofMillis(1_500);
  private static final Duration IN_SERVICE_TIME = Duration.ofMillis(500);
  private static final Duration COUNTING_TIME = Duration.ofSeconds(10);
  private static final double NANOS_PER_MILLI = 1e6;
  private static final long MAX_NANOS = Duration.ofMinutes(1).toNanos();
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int MEDIAN_PERCENTILE = 50;

  private SpreadMain() {}

  /** Runs the measurement that the arguments name and prints the results. */
  public static void main(String[] arguments) throws CassiaException, InterruptedException {
    int count = Integer.parseInt(arguments[1]);
    switch (arguments[0]) {
      case "spread" -> measurePropagation(count, System.out);
      case "drain" -> measureDrains(count, System.out);
      case "bytes" -> measureTraffic(count, System.out);
      default -> throw new IllegalArgumentException(arguments[0]);
    }
    System.exit(0);
  }

  private static void measurePropagation(int changes, PrintStream out)
      throws CassiaException, InterruptedException {
    Histogram fromSend = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);
    Histogram fromAnswer = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);
    try (SpreadSystem system = SpreadSystem.start(AGENTS)) {
      for (int i = 0; i < changes; i++) {
        long sentNanos = System.nanoTime();
        system.setNorthInService(i % 2 == 1);
        long answeredNanos = System.nanoTime();
        system.awaitInForce();
        long inForceNanos = System.nanoTime();
        fromSend.recordValue(inForceNanos - sentNanos);
        fromAnswer.recordValue(inForceNanos - answeredNanos);
      }
    }
    out.printf("spread changes=%d%n", changes);
    printTimes("from_send", fromSend, out);
    printTimes("from_answer", fromAnswer, out);
  }

  private static void printTimes(String name, Histogram times, PrintStream out) {
    out.printf(
        "%s p50_ms=%.2f max_ms=%.2f%n",
        name,
        times.getValueAtPercentile(MEDIAN_PERCENTILE) / NANOS_PER_MILLI,
        times.getMaxValue() / NANOS_PER_MILLI);
  }

  private static void measureDrains(int drains, PrintStream out)
      throws CassiaException, InterruptedException {
    Histogram lastStartTimes = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);
    try (SpreadSystem system = SpreadSystem.start(AGENTS);
        JobLoad load = JobLoad.start(system.entries())) {
      long southStartsWhileOut = 0;
      for (int i = 0; i < drains; i++) {
        Thread.sleep(IN_SERVICE_TIME.toMillis());
        system.setNorthInService(false);
        long acceptedNanos = System.nanoTime();
        system.northRecorder().countLateFrom(acceptedNanos + LATE_AFTER.toNanos());
        long southStartsBefore = system.southRecorder().starts();
        Thread.sleep(OUT_OF_SERVICE_TIME.toMillis());
        southStartsWhileOut += system.southRecorder().starts() - southStartsBefore;
        lastStartTimes.recordValue(
            Math.max(0, system.northRecorder().lastStartNanos() - acceptedNanos));
        system.northRecorder().stopCountingLate();
        system.setNorthInService(true);
      }
      out.printf(
          "drain drains=%d bound_ms=%d late_starts=%d last_start_p50_ms=%.2f "
              + "last_start_max_ms=%.2f%n",
          drains,
          LATE_AFTER.toMillis(),
          system.northRecorder().lateStarts(),
          lastStartTimes.getValueAtPercentile(MEDIAN_PERCENTILE) / NANOS_PER_MILLI,
          lastStartTimes.getMaxValue() / NANOS_PER_MILLI);
      out.printf(
          "load starts_north=%d starts_south=%d south_while_out=%d jobs_complete=%d "
              + "jobs_failed=%d%n",
          system.northRecorder().starts(),
          system.southRecorder().starts(),
          southStartsWhileOut,
          load.completedJobs(),
          load.failedJobs());
    }
  }

  private static void measureTraffic(int agents, PrintStream out)
      throws CassiaException, InterruptedException {
    try (SpreadSystem system = SpreadSystem.start(agents)) {
      long bytesBefore = sumBytes(system);
      long framesBefore = sumFrames(system);
      Thread.sleep(COUNTING_TIME.toMillis());
      long bytes = sumBytes(system) - bytesBefore;
      long frames = sumFrames(system) - framesBefore;
      double agentSeconds = (double) agents * COUNTING_TIME.toSeconds();
      out.printf(
          "bytes agents=%d entries=3 bytes_per_s_each=%.1f frames_per_s_each=%.2f%n",
          agents, bytes / agentSeconds, frames / agentSeconds);
    }
  }

  private static long sumFrames(SpreadSystem system) {
    return system.agents().stream()
        .map(Agent::traffic)
        .mapToLong(traffic -> traffic.frames())
        .sum();
  }

  private static long sumBytes(SpreadSystem system) {
    return system.agents().stream().map(Agent::traffic).mapToLong(traffic -> traffic.bytes()).sum();
  }
}
