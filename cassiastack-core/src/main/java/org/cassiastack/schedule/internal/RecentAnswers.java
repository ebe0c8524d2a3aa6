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
 * Recent answers about jobs that are not in the ledger: jobs that are not durable, and jobs that
 * were refused. A repeated request gets the same answer.
 */
final class RecentAnswers {
  /** Exceeds the delay of repeats: front ends repeat within 1.6 s, callers within 2 s. */
  private static final Duration RETENTION = Duration.ofSeconds(4);

  private final Map<QueuedJobId, Entry> answers = new HashMap<>();
  private final Deque<Entry> entries = new ArrayDeque<>();

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
        e != null && e.at.plus(RETENTION).isBefore(now);
        e = entries.peek()) {
      entries.remove();
      answers.remove(e.id, e);
    }
  }

  private record Entry(QueuedJobId id, RequestAnswer answer, Instant at) {}
}
