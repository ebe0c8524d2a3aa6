package org.cassiastack.job.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobId;
import org.jspecify.annotations.Nullable;

/** Answers that are kept for callers that submit a job again. */
public final class RetainedAnswers {
  private final Duration retention;
  private final Map<JobId, RetainedAnswer> answers = new LinkedHashMap<>();

  /**
   * Makes an empty set.
   *
   * @param retention how long an answer is kept
   */
  public RetainedAnswers(Duration retention) {
    this.retention = retention;
  }

  /** Returns how long an answer is kept. */
  public Duration retention() {
    return retention;
  }

  /** Returns what is kept of a job, or null. */
  public @Nullable RetainedAnswer find(JobId id) {
    return answers.get(id);
  }

  /** Keeps the answer of a job. */
  public void put(JobId id, @Nullable JobDigest digest, JobAnswer answer, Instant now) {
    // A key issued ahead of this clock is taken for longer, so its answer is kept for longer.
    Instant issued = id.key().issuedAt();
    Instant from = issued.isAfter(now) ? issued : now;
    answers.put(id, new RetainedAnswer(digest, answer, from.plus(retention)));
  }

  /** Forgets answers whose time has passed. */
  public void expire(Instant now) {
    // Insertion order is order of expiry, so the first that stays ends the search.
    Iterator<RetainedAnswer> it = answers.values().iterator();
    while (it.hasNext() && !now.isBefore(it.next().expiresAt)) {
      it.remove();
    }
  }

  /**
   * An answer that is kept.
   *
   * @param digest digest of the content of the job, or null when it was cancelled before it came
   * @param answer its answer
   * @param expiresAt when it is forgotten
   */
  public record RetainedAnswer(@Nullable JobDigest digest, JobAnswer answer, Instant expiresAt) {}
}
