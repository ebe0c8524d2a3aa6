package org.cassiastack.daemon.queue;

import org.cassiastack.decision.Decision;
import org.tinylog.Logger;

/**
 * Counts decisions and writes them to the log, as many lines a second as are allowed. The thread of
 * the controllers only puts lines into tinylog's queue; another thread writes them.
 */
final class DecisionLog {
  /** Lines a second of one kind: a leader at today's load orders about as many runs. */
  private static final double LINES_PER_SECOND = 400;

  private final LogRateLimiter limiter;
  private final QueueMetrics metrics;

  DecisionLog(LogRateLimiter limiter, QueueMetrics metrics) {
    this.limiter = limiter;
    this.metrics = metrics;
  }

  void write(Decision d) {
    metrics.countDecision(d.event(), d.outcome());
    if (limiter.tryAcquire(d.event(), LINES_PER_SECOND)) {
      Logger.info(
          "event={} subject={} outcome={} {}", d.event(), d.subject(), d.outcome(), d.inputs());
    }
  }
}
