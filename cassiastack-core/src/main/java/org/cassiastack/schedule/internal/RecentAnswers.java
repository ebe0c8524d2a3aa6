package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.cassiastack.queue.JobPhase;
import org.cassiastack.queue.QueuedJobId;
import org.jspecify.annotations.Nullable;

/** How jobs that are not kept have ended lately, for callers whose answer was lost. */
final class RecentAnswers {
  /** Front ends ask again within half a second of a lost answer, callers within two. */
  private static final Duration KEPT = Duration.ofSeconds(4);

  private final Map<QueuedJobId, JobPhase> phases = new HashMap<>();
  private final Deque<Entry> entries = new ArrayDeque<>();
  private Instant now = Instant.MIN;

  void add(QueuedJobId id, JobPhase phase) {
    if (phases.put(id, phase) == null) {
      entries.add(new Entry(id, now));
    }
  }

  @Nullable JobPhase find(QueuedJobId id) {
    return phases.get(id);
  }

  void forget(Instant present) {
    now = present;
    for (Entry e = entries.peek(); e != null && isOld(e); e = entries.peek()) {
      entries.remove();
      phases.remove(e.id);
    }
  }

  private boolean isOld(Entry e) {
    return e.at.equals(Instant.MIN) || e.at.plus(KEPT).isBefore(now);
  }

  private record Entry(QueuedJobId id, Instant at) {}
}
