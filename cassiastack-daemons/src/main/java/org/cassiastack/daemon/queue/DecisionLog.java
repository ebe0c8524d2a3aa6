package org.cassiastack.daemon.queue;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.decision.Decision;
import org.cassiastack.limit.TokenBucket;
import org.tinylog.Logger;

/**
 * Writes decisions to the log, each kind of event up to a number of lines a second, and counts them
 * all. What is not written is counted by the next line of its kind. The thread of the controllers
 * only puts lines into tinylog's queue; another thread writes them.
 */
final class DecisionLog {
  /** Lines a second of one kind: a leader at today's load orders about as many runs. */
  private static final double LINES_PER_SECOND = 400;

  private final TimeSource time;
  private final QueueMetrics metrics;
  private final Map<String, TokenBucket> buckets = new HashMap<>();
  private final Map<String, Long> dropped = new HashMap<>();

  DecisionLog(TimeSource time, QueueMetrics metrics) {
    this.time = time;
    this.metrics = metrics;
  }

  void write(Decision d) {
    metrics.decided(d.event(), d.outcome());
    Instant now = time.now();
    TokenBucket bucket =
        buckets.computeIfAbsent(d.event(), e -> TokenBucket.full(LINES_PER_SECOND, now));
    if (!bucket.take(1, now)) {
      metrics.lineDropped(d.event());
      dropped.merge(d.event(), 1L, Long::sum);
      return;
    }
    long before = dropped.getOrDefault(d.event(), 0L);
    if (before > 0) {
      dropped.remove(d.event());
      Logger.info("event=log_lines_dropped kind={} lines={}", d.event(), before);
    }
    Logger.info(
        "event={} subject={} outcome={} {}", d.event(), d.subject(), d.outcome(), d.inputs());
  }
}
