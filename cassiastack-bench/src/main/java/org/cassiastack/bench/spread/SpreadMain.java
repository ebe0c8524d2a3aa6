package org.cassiastack.bench.spread;

import java.io.PrintStream;
import java.time.Duration;
import org.HdrHistogram.Histogram;
import org.cassiastack.daemon.agent.Agent;
import org.cassiastack.model.CassiaException;

/**
 * Measures the spread of configurations. Arguments: {@code spread CHANGES}, {@code drain DRAINS} or
 * {@code bytes AGENTS}.
 *
 * @since 0.1
 */
public final class SpreadMain {
  private static final int AGENTS = 10;
  private static final Duration BOUND = Duration.ofSeconds(1);
  private static final Duration OUT = Duration.ofMillis(1_500);
  private static final Duration BACK = Duration.ofMillis(500);
  private static final Duration COUNTED = Duration.ofSeconds(10);
  private static final double NANOS_PER_MILLI = 1e6;
  private static final long MAX_NANOS = Duration.ofMinutes(1).toNanos();
  private static final int DIGITS = 3;
  private static final int MEDIAN = 50;

  private SpreadMain() {}

  /** Runs one measurement and prints its figures. */
  public static void main(String[] arguments) throws CassiaException, InterruptedException {
    int count = Integer.parseInt(arguments[1]);
    switch (arguments[0]) {
      case "spread" -> spread(count, System.out);
      case "drain" -> drain(count, System.out);
      case "bytes" -> bytes(count, System.out);
      default -> throw new IllegalArgumentException(arguments[0]);
    }
    System.exit(0);
  }

  private static void spread(int changes, PrintStream out)
      throws CassiaException, InterruptedException {
    Histogram fromSend = new Histogram(MAX_NANOS, DIGITS);
    Histogram fromAnswer = new Histogram(MAX_NANOS, DIGITS);
    try (SpreadSystem system = SpreadSystem.start(AGENTS)) {
      for (int i = 0; i < changes; i++) {
        long sent = System.nanoTime();
        system.setNorthInService(i % 2 == 1);
        long answered = System.nanoTime();
        system.awaitInForce();
        long inForce = System.nanoTime();
        fromSend.recordValue(inForce - sent);
        fromAnswer.recordValue(inForce - answered);
      }
    }
    out.printf("spread changes=%d%n", changes);
    print("from_send", fromSend, out);
    print("from_answer", fromAnswer, out);
  }

  private static void print(String name, Histogram times, PrintStream out) {
    out.printf(
        "%s p50_ms=%.2f max_ms=%.2f%n",
        name,
        times.getValueAtPercentile(MEDIAN) / NANOS_PER_MILLI,
        times.getMaxValue() / NANOS_PER_MILLI);
  }

  private static void drain(int drains, PrintStream out)
      throws CassiaException, InterruptedException {
    Histogram last = new Histogram(MAX_NANOS, DIGITS);
    try (SpreadSystem system = SpreadSystem.start(AGENTS);
        JobLoad load = JobLoad.start(system.entries())) {
      long southWhileOut = 0;
      for (int i = 0; i < drains; i++) {
        Thread.sleep(BACK.toMillis());
        system.setNorthInService(false);
        long accepted = System.nanoTime();
        system.northRecorder().countLateFrom(accepted + BOUND.toNanos());
        long southBefore = system.southRecorder().starts();
        Thread.sleep(OUT.toMillis());
        southWhileOut += system.southRecorder().starts() - southBefore;
        last.recordValue(Math.max(0, system.northRecorder().lastStartNanos() - accepted));
        system.northRecorder().stopCountingLate();
        system.setNorthInService(true);
      }
      out.printf(
          "drain drains=%d bound_ms=%d late_starts=%d last_start_p50_ms=%.2f "
              + "last_start_max_ms=%.2f%n",
          drains,
          BOUND.toMillis(),
          system.northRecorder().lateStarts(),
          last.getValueAtPercentile(MEDIAN) / NANOS_PER_MILLI,
          last.getMaxValue() / NANOS_PER_MILLI);
      out.printf(
          "load starts_north=%d starts_south=%d south_while_out=%d jobs_complete=%d "
              + "jobs_failed=%d%n",
          system.northRecorder().starts(),
          system.southRecorder().starts(),
          southWhileOut,
          load.completedJobs(),
          load.failedJobs());
    }
  }

  private static void bytes(int agents, PrintStream out)
      throws CassiaException, InterruptedException {
    try (SpreadSystem system = SpreadSystem.start(agents)) {
      long bytesBefore = sumBytes(system);
      long framesBefore = sumFrames(system);
      Thread.sleep(COUNTED.toMillis());
      long bytes = sumBytes(system) - bytesBefore;
      long frames = sumFrames(system) - framesBefore;
      double agentSeconds = (double) agents * COUNTED.toSeconds();
      out.printf(
          "bytes agents=%d entries=3 bytes_per_s_each=%.1f frames_per_s_each=%.2f%n",
          agents, bytes / agentSeconds, frames / agentSeconds);
    }
  }

  private static long sumFrames(SpreadSystem system) {
    return system.agents().stream().map(Agent::traffic).mapToLong(t -> t.frames()).sum();
  }

  private static long sumBytes(SpreadSystem system) {
    return system.agents().stream().map(Agent::traffic).mapToLong(t -> t.bytes()).sum();
  }
}
