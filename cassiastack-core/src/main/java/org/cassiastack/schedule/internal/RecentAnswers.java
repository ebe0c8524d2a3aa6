package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.request.RequestAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Recent answers about jobs that are not in the ledger: jobs that are not durable, and jobs that
 * were refused. A repeated request gets the same answer.
 */
final class RecentAnswers {
  /**
   * How long the end of a job that is not durable is known. Front ends repeat a request within 1.6
   * s, and callers that got no answer within 2 s; a copy that comes later may run the job again.
   */
  private static final Duration END_RETENTION = Duration.ofSeconds(4);

  private static final int MAX_ENDS = 100_000;

  private final Duration retention;
  private final int maxEntries;
  private final Map<QueuedJobId, Entry> answers = new HashMap<>();
  private final Deque<Entry> entries = new ArrayDeque<>();

  private RecentAnswers(Duration retention, int maxEntries) {
    this.retention = retention;
    this.maxEntries = maxEntries;
  }

  /** Creates a store of the answers to jobs that have ended, or were given up. */
  static RecentAnswers ofEnds() {
    return new RecentAnswers(END_RETENTION, MAX_ENDS);
  }

  /** Creates a store of refusals, which are known as long as those in the ledger. */
  static RecentAnswers ofRefusals() {
    return new RecentAnswers(JobLedger.REFUSAL_RETENTION, JobLedger.MAX_REFUSED_JOBS);
  }

  void add(QueuedJobId id, RequestAnswer answer, Instant now) {
    Entry e = new Entry(id, answer, now);
    answers.put(id, e);
    entries.add(e);
  }

  /** Returns the stored answer for a job and restarts its retention; null when there is none. */
  @Nullable RequestAnswer findAndRefresh(QueuedJobId id, Instant now) {
    Entry e = answers.get(id);
    if (e == null) {
      return null;
    }
    add(id, e.answer, now);
    return e.answer;
  }

  void evictExpired(Instant now) {
    for (Entry e = entries.peek();
        e != null && (e.at.plus(retention).isBefore(now) || entries.size() > maxEntries);
        e = entries.peek()) {
      entries.remove();
      answers.remove(e.id, e);
    }
  }

  private record Entry(QueuedJobId id, RequestAnswer answer, Instant at) {}
}
