package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.request.RequestAnswer;
import org.jspecify.annotations.Nullable;

/**
 * What callers were answered lately for jobs of which the ledger knows nothing: those that are not
 * kept, and those that were refused. A repeated request gets the same answer.
 */
final class RecentAnswers {
  /** Front ends repeat a request after 1.6 s at most, callers after two. */
  private static final Duration KEPT = Duration.ofSeconds(4);

  private final Map<QueuedJobId, Entry> answers = new HashMap<>();
  private final Deque<Entry> entries = new ArrayDeque<>();

  void add(QueuedJobId id, RequestAnswer answer, Instant now) {
    Entry e = new Entry(id, answer, now);
    answers.put(id, e);
    entries.add(e);
  }

  /** Returns the answer to a request for a job, or null; it is kept for as long once more. */
  @Nullable RequestAnswer findAndRefresh(QueuedJobId id, Instant now) {
    Entry e = answers.get(id);
    if (e == null) {
      return null;
    }
    add(id, e.answer, now);
    return e.answer;
  }

  void evictExpired(Instant now) {
    for (Entry e = entries.peek(); e != null && e.at.plus(KEPT).isBefore(now); e = entries.peek()) {
      entries.remove();
      answers.remove(e.id, e);
    }
  }

  private record Entry(QueuedJobId id, RequestAnswer answer, Instant at) {}
}
