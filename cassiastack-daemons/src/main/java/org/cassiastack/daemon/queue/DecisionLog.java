package org.cassiastack.daemon.queue;

import org.cassiastack.decision.Decision;
import org.tinylog.Logger;

/**
 * Counts decisions and logs them at a limited rate. The thread of the controllers only adds lines
 * to the queue of the logging library (tinylog), whose writing thread writes them.
 */
final class DecisionLog {
  /**
   * Maximum log lines per second for each kind of decision. Under the load that the limit was
   * chosen for, a leader orders about this many runs per second.
   */
  private static final double MAX_LINES_PER_SECOND = 400;

  private final LogRateLimiter limiter;
  private final QueueMetrics metrics;

  DecisionLog(LogRateLimiter limiter, QueueMetrics metrics) {
    this.limiter = limiter;
    this.metrics = metrics;
  }

  void write(Decision d) {
    metrics.countDecision(d.event(), d.outcome());
    if (limiter.tryAcquire(d.event(), MAX_LINES_PER_SECOND)) {
      Logger.info(
          "event={} subject={} outcome={} {}", d.event(), d.subject(), d.outcome(), d.inputs());
    }
  }
}
