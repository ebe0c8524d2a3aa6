package org.cassiastack.schedule.internal;

/**
 * Numbers of the runs of a task. Each generation, which is the term of one leader, has a range of
 * its own, so that dispatchers that know nothing of each other's runs do not use equal numbers.
 */
final class RunNumbers {
  /**
   * Run numbers of each task that are reserved for one generation. A task is started far less often
   * during one term of leadership.
   */
  private static final long RUNS_PER_GENERATION = 1_000;

  /** Offset of the numbers for fallback dispatchers within the range of a generation. */
  private static final long FALLBACK_OFFSET = 500;

  /** Numbers of one engagement of a fallback dispatcher. */
  private static final long RUNS_PER_ENGAGEMENT = 50;

  /** Number of engagements after which fallback dispatchers use the same numbers again. */
  private static final long ENGAGEMENTS =
      (RUNS_PER_GENERATION - FALLBACK_OFFSET) / RUNS_PER_ENGAGEMENT;

  /** Distance between the engagements of the dispatchers of one failure domain. */
  private static final long ENGAGEMENTS_PER_DISPATCHER = 5;

  private RunNumbers() {}

  /** Returns the lowest number for runs of the leader of a generation, from 1. */
  static long firstOfLeader(long generation) {
    return (generation - 1) * RUNS_PER_GENERATION + 1;
  }

  /**
   * Returns the lowest number for runs of a fallback dispatcher that knows a generation.
   *
   * @param position position of the dispatcher among those of its failure domain, from 0
   * @param engagement number of the engagement of the dispatcher, from 1
   */
  static long firstOfFallback(long generation, int position, long engagement) {
    long part = (position * ENGAGEMENTS_PER_DISPATCHER + engagement - 1) % ENGAGEMENTS;
    return firstOfLeader(generation) + FALLBACK_OFFSET + part * RUNS_PER_ENGAGEMENT;
  }
}
