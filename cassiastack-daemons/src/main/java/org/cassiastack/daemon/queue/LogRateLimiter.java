package org.cassiastack.daemon.queue;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.limit.TokenBucket;
import org.tinylog.Logger;

/**
 * Bounds the lines of each kind of event a second. Those that are not written are counted, and the
 * next line of their kind is preceded by one that says how many they were.
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
   * Makes a limiter; it is safe for several threads.
   *
   * @param time tells the time
   * @param metrics counts the lines that are not written
   */
  public static LogRateLimiter create(TimeSource time, QueueMetrics metrics) {
    return new LogRateLimiter(time, metrics);
  }

  /**
   * Tells whether a line may be written now.
   *
   * @param event the kind of event
   * @param linesPerSecond the bound of that kind
   */
  public synchronized boolean tryAcquire(String event, double linesPerSecond) {
    Instant now = time.now();
    TokenBucket bucket = buckets.computeIfAbsent(event, e -> TokenBucket.full(linesPerSecond, now));
    if (!bucket.tryAcquire(1, now)) {
      metrics.countDroppedLine(event);
      dropped.merge(event, 1L, Long::sum);
      return false;
    }
    Long before = dropped.remove(event);
    if (before != null) {
      Logger.info("event=log_lines_dropped kind={} lines={}", event, before);
    }
    return true;
  }
}
