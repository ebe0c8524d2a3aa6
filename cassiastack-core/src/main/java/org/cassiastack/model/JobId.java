package org.cassiastack.model;

/**
 * Identity of a job in the whole system: the customer and the key, so that equal keys of different
 * customers do not collide.
 *
 * @param customer the customer on whose behalf the job was submitted
 * @param key the key that the caller assigned to the job
 * @since 0.1
 */
public record JobId(Customer customer, JobKey key) {
  /** Returns the identity of a job. */
  public static JobId of(Job job) {
    return new JobId(job.customer(), job.key());
  }

  @Override
  public String toString() {
    return customer + "/" + key;
  }
}
