package org.cassiastack.job.internal;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Refusal;
import org.cassiastack.model.Refusals;
import org.jspecify.annotations.Nullable;

/** Rules that depend on the time of issue that a job key contains. */
public final class KeyAgePolicy {
  private static final Duration MAX_CLOCK_SKEW = Duration.ofSeconds(1);

  private final Duration retention;
  private final Instant trackedSince;

  /**
   * Creates the rules.
   *
   * @param retention how long answers are retained
   * @param trackedSince jobs whose key was issued before this time may have been accepted by an
   *     earlier incarnation whose state was lost
   */
  public KeyAgePolicy(Duration retention, Instant trackedSince) {
    this.retention = retention;
    this.trackedSince = trackedSince;
  }

  /**
   * Returns the refusal of a job of which this coordinator holds no record but which may have run,
   * or null if such a job certainly did not run.
   */
  public @Nullable Refusal unknownOutcomeRefusal(JobKey key, Instant now) {
    if (key.issuedAt().isBefore(now.minus(retention))) {
      return Refusals.keyExpired(key, retention);
    }
    return key.issuedAt().isBefore(trackedSince) ? Refusals.coordinatorLost(key) : null;
  }

  /** Returns why a job with a new key is refused, or null if the age of the key is valid. */
  public @Nullable Refusal refusalOf(JobKey key, Instant now) {
    Refusal unknownOutcome = unknownOutcomeRefusal(key, now);
    if (unknownOutcome != null) {
      return unknownOutcome;
    }
    boolean isAhead = key.issuedAt().isAfter(now.plus(MAX_CLOCK_SKEW));
    return isAhead ? Refusals.keyAheadOfClock(key, MAX_CLOCK_SKEW) : null;
  }

  /**
   * Returns the deadline of a job: the end of its timeout, but no later than the end of the
   * retention of its key. Agents may remove the record of a task once the key is older than the
   * retention, so no job gets a later deadline.
   */
  public Instant deadline(Job job, Instant now) {
    Instant requestedDeadline = now.plus(job.timeout());
    Instant latestDeadline = job.key().issuedAt().plus(retention);
    return requestedDeadline.isBefore(latestDeadline) ? requestedDeadline : latestDeadline;
  }
}
