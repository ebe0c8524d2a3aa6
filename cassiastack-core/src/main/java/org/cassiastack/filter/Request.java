package org.cassiastack.filter;

import org.cassiastack.model.Job;
import org.cassiastack.model.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request in the filter chain.
 *
 * <p>A filter that refuses a job marks the request and still passes it on: only the coordinator
 * knows whether the job was accepted before, so only the coordinator can state reliably that the
 * job has not run.
 *
 * @param job the job that the caller submits
 * @param refusal why the job must be refused if it is new, or null when it may be accepted
 * @since 0.1
 */
public record Request(Job job, @Nullable Refusal refusal) {
  /** Creates a request without a refusal. */
  public static Request of(Job job) {
    return new Request(job, null);
  }

  /**
   * Returns the request marked with a refusal. A request that is already marked keeps its first
   * refusal.
   */
  public Request withRefusal(Refusal reason) {
    return refusal == null ? new Request(job, reason) : this;
  }
}
