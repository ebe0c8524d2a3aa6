package org.cassiastack.job.internal;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Refusal;
import org.cassiastack.model.Refusals;
import org.jspecify.annotations.Nullable;

/** What follows from the time of issue that a key carries. */
public final class KeyAgePolicy {
  private static final Duration MAX_CLOCK_SKEW = Duration.ofSeconds(1);

  private final Duration retention;
  private final Instant birth;

  /**
   * Makes the rules.
   *
   * @param retention how long answers are kept
   * @param birth keys issued before may have been taken by an earlier life
   */
  public KeyAgePolicy(Duration retention, Instant birth) {
    this.retention = retention;
    this.birth = birth;
  }

  /** Why it is not known whether a job that is not found here ran, or null when it did not. */
  public @Nullable Refusal unknownOutcomeRefusal(JobKey key, Instant now) {
    if (key.issuedAt().isBefore(now.minus(retention))) {
      return Refusals.keyExpired(key, retention);
    }
    return key.issuedAt().isBefore(birth) ? Refusals.coordinatorLost(key) : null;
  }

  /** Why a job with an unknown key is not taken, or null when its key is of the right age. */
  public @Nullable Refusal refusalOf(JobKey key, Instant now) {
    Refusal forgotten = unknownOutcomeRefusal(key, now);
    if (forgotten != null) {
      return forgotten;
    }
    boolean ahead = key.issuedAt().isAfter(now.plus(MAX_CLOCK_SKEW));
    return ahead ? Refusals.keyAheadOfClock(key, MAX_CLOCK_SKEW) : null;
  }

  /** Agents forget a task by the age of its key, so no job outlives its key. */
  public Instant deadline(Job job, Instant now) {
    Instant asked = now.plus(job.timeout());
    Instant latest = job.key().issuedAt().plus(retention);
    return asked.isBefore(latest) ? asked : latest;
  }
}
