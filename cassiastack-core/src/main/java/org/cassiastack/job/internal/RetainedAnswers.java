package org.cassiastack.job.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobId;
import org.jspecify.annotations.Nullable;

/** Answers that are retained for callers that submit a job again. */
public final class RetainedAnswers {
  private final Duration retention;
  private final Map<JobId, RetainedAnswer> answers = new LinkedHashMap<>();

  /**
   * Creates an empty set.
   *
   * @param retention how long an answer is retained
   */
  public RetainedAnswers(Duration retention) {
    this.retention = retention;
  }

  /** Returns how long an answer is retained. */
  public Duration retention() {
    return retention;
  }

  /** Returns the retained answer of a job, or null if there is none. */
  public @Nullable RetainedAnswer find(JobId id) {
    return answers.get(id);
  }

  /** Retains the answer of a job until the retention has passed. */
  public void put(JobId id, @Nullable JobDigest digest, JobAnswer answer, Instant now) {
    // A key issued ahead of this clock is accepted for longer, so the retention starts at the time
    // of issue.
    Instant issued = id.key().issuedAt();
    Instant retainedFrom = issued.isAfter(now) ? issued : now;
    answers.put(id, new RetainedAnswer(digest, answer, retainedFrom.plus(retention)));
  }

  /** Removes the answers that have expired. */
  public void expire(Instant now) {
    // Answers are examined in insertion order, and the first answer that has not expired ends the
    // search. An answer whose key was issued ahead of this clock can delay the removal of later
    // answers.
    Iterator<RetainedAnswer> iterator = answers.values().iterator();
    while (iterator.hasNext() && !now.isBefore(iterator.next().expiresAt)) {
      iterator.remove();
    }
  }

  /**
   * An answer that is retained.
   *
   * @param digest digest of the content of the job, or null if the job was cancelled before its
   *     submission arrived
   * @param answer the answer of the job
   * @param expiresAt the time from which on the answer may be removed
   */
  public record RetainedAnswer(@Nullable JobDigest digest, JobAnswer answer, Instant expiresAt) {}
}
