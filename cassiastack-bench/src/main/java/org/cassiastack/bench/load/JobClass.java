package org.cassiastack.bench.load;

/**
 * One kind of job in a mix.
 *
 * @param name what callers call it
 * @param customer whom its jobs are for
 * @param arrivalShare part of all arrivals, from 0 to 1
 * @param taskCount number of tasks of a job
 * @param runMillis run time of a task at a minion of speed 1
 * @param idempotent whether its tasks may be repeated
 * @since 0.1
 */
public record JobClass(
    String name,
    String customer,
    double arrivalShare,
    Distribution taskCount,
    Distribution runMillis,
    boolean idempotent) {
  /** Returns the mean time of one slot that a job takes, in seconds. */
  public double meanSlotSeconds() {
    return taskCount.mean() * runMillis.mean() / 1_000;
  }
}
