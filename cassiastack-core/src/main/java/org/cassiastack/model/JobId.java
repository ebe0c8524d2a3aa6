package org.cassiastack.model;

/**
 * Identity of a job in the whole system: keys of different customers never meet.
 *
 * @param customer whom the caller acts for
 * @param key the key that the caller gave
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
