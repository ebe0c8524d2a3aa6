package org.cassiastack.daemon.queue;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.limit.TokenBucket;
import org.tinylog.Logger;

/**
 * Limits the log lines per second for each kind of event. Lines above the limit are dropped and
 * counted; the number of dropped lines is logged before the next line of the same kind.
 *
 * @since 0.2
 */
public final class LogRateLimiter {
  private final TimeSource time;
  private final QueueMetrics metrics;
  private final Map<String, TokenBucket> buckets = new HashMap<>();
  private final Map<String, Long> dropped = new HashMap<>();

  private LogRateLimiter(TimeSource time, QueueMetrics metrics) {
    this.time = time;
    this.metrics = metrics;
  }

  /**
   * Creates a limiter, which is safe for use by several threads.
   *
   * @param time source of the current time
   * @param metrics counts the dropped lines
   */
  public static LogRateLimiter create(TimeSource time, QueueMetrics metrics) {
    return new LogRateLimiter(time, metrics);
  }

  /**
   * Returns whether a line may be logged now; a line that may not be logged is counted as dropped.
   *
   * @param event the kind of event
   * @param linesPerSecond maximum lines per second for this kind; the value that the first call for
   *     a kind passes stays in effect
   */
  public synchronized boolean tryAcquire(String event, double linesPerSecond) {
    Instant now = time.now();
    TokenBucket bucket = buckets.computeIfAbsent(event, e -> TokenBucket.full(linesPerSecond, now));
    if (!bucket.tryAcquire(1, now)) {
      metrics.countDroppedLine(event);
      dropped.merge(event, 1L, Long::sum);
      return false;
    }
    Long droppedLines = dropped.remove(event);
    if (droppedLines != null) {
      Logger.info("event=log_lines_dropped kind={} lines={}", event, droppedLines);
    }
    return true;
  }
}
