package org.cassiastack.bench.load;

/**
 * A class of jobs with common properties; a preset mixes several classes.
 *
 * @param name name of the class; it has no effect on the load
 * @param customer the customer that submits the jobs
 * @param arrivalShare share of all arriving jobs that have this class, from 0 to 1
 * @param taskCount distribution of the number of tasks of a job
 * @param runMillis distribution of the run time of a task on a minion of speed 1, in milliseconds
 * @param idempotent whether the tasks of the jobs may run more than once
 * @since 0.1
 */
public record JobClass(
    String name,
    String customer,
    double arrivalShare,
    Distribution taskCount,
    Distribution runMillis,
    boolean idempotent) {
  /** Returns the mean slot time that a job needs on minions of speed 1, in seconds. */
  public double meanSlotSeconds() {
    return taskCount.mean() * runMillis.mean() / 1_000;
  }
}
