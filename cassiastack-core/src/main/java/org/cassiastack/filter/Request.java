package org.cassiastack.filter;

import org.cassiastack.model.Job;
import org.cassiastack.model.Refusal;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request on its way through the filter chain.
 *
 * <p>A filter that would not have the job run marks the request and hands it on: only the
 * coordinator knows whether the job was taken before, so only there "not run" can be told truly.
 *
 * @param job what the caller asks for
 * @param refusal why the job must not be taken if it is new, or null
 * @since 0.1
 */
public record Request(Job job, @Nullable Refusal refusal) {
  /** A request that nothing speaks against so far. */
  public static Request of(Job job) {
    return new Request(job, null);
  }

  /** Returns the request marked with a refusal; the first one stays. */
  public Request withRefusal(Refusal reason) {
    return refusal == null ? new Request(job, reason) : this;
  }
}
