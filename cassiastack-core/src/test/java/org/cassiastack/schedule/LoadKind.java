package org.cassiastack.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import org.cassiastack.model.ServiceName;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.AnswerCode;

/**
 * A kind of jobs of a {@link LoadSimulation}, with run times and estimates as distributions.
 *
 * @param name name of the kind and of its queue
 * @param priority priority of the queue
 * @param tasks number of tasks of a job
 * @param runTime mean run time of a task at speed 1 on the rack of its data, without the tail
 * @param rackShare share of the jobs that ask for the rack {@link #RACK}
 * @param remoteFactor factor by which these run longer on another rack
 * @param tailShare share of the tasks that take {@link #TAIL_FACTOR} times as long
 */
record LoadKind(
    String name,
    int priority,
    int tasks,
    Duration runTime,
    double rackShare,
    double remoteFactor,
    double tailShare) {
  static final String RACK = "rack-0";
  static final double TAIL_FACTOR = 7;

  /** Standard deviation of the logarithm of run times and of the callers' estimates. */
  private static final double SPREAD = 0.4;

  private static final double MAX_RUN_TIME_FACTOR = 4;
  private static final double STRETCH = 1.6;
  private static final Duration TARGET_LATENCY = Duration.ofMillis(60);
  private static final double NANOS_PER_SECOND = 1e9;
  private static final int MAX_ATTEMPTS = 2;
  private static final int MAX_USEFUL_OBJECTIVES = 3;

  Queue queue(ServiceName service) {
    return new Queue(
        name, "h", pathPrefix(), service, priority, MAX_ATTEMPTS, STRETCH, TARGET_LATENCY);
  }

  Duration objective() {
    return Duration.ofNanos((long) (runTime.toNanos() * STRETCH)).plus(TARGET_LATENCY);
  }

  /** Returns the mean processor time of a job at speed 1, in seconds on one slot. */
  double meanWork() {
    double tail = 1 + tailShare * (TAIL_FACTOR - 1);
    return tasks * tail * runTime.toNanos() / NANOS_PER_SECOND;
  }

  String pathPrefix() {
    return "/" + name + "/";
  }

  StepSpec step(long milliCpu, Random random) {
    Duration estimate = Duration.ofNanos((long) (runTime.toNanos() * drawFactor(random)));
    String rack = random.nextDouble() < rackShare ? RACK : "";
    return new StepSpec(tasks, milliCpu, 64, 0, estimate, List.of(), "", rack, 0);
  }

  Duration drawRunTime(Random random, boolean remote) {
    double tail = random.nextDouble() < tailShare ? TAIL_FACTOR : 1;
    double factor = Math.min(MAX_RUN_TIME_FACTOR, drawFactor(random)) * tail;
    return Duration.ofNanos((long) (runTime.toNanos() * factor * (remote ? remoteFactor : 1)));
  }

  /** Draws from a log-normal distribution of mean 1. */
  private static double drawFactor(Random random) {
    return Math.exp(SPREAD * random.nextGaussian() - SPREAD * SPREAD / 2);
  }

  /** The answers to the jobs of a kind. */
  static final class Counts {
    private final Duration objective;
    int submitted;
    private int onTime;
    private int late;

    Counts(Duration objective) {
      this.objective = objective;
    }

    void add(AnswerCode code, Instant objectiveAt, Instant now) {
      boolean done = code == AnswerCode.ACCEPTED;
      boolean inTime = !now.isAfter(objectiveAt);
      boolean useful =
          !now.isAfter(objectiveAt.plus(objective.multipliedBy(MAX_USEFUL_OBJECTIVES - 1)));
      onTime += done && inTime ? 1 : 0;
      late += done && !inTime && useful ? 1 : 0;
    }

    double onTimeShare() {
      return (double) onTime / submitted;
    }

    double lateShare() {
      return (double) late / submitted;
    }
  }
}
