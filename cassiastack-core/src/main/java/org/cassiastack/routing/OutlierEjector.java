package org.cassiastack.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Ejects minions of one service after consecutive failures, up to a maximum share of the minions,
 * and opens the circuit breaker of the service when every minion fails.
 *
 * <pre>{@code
 * load.taskFailed(job);
 * ejector.afterFailure(load, loadsOfService, now);
 * boolean refuse = ejector.isOpen(now);
 * }</pre>
 *
 * @since 0.1
 */
public final class OutlierEjector {
  private static final double MAX_EJECTED_SHARE = 0.5;
  private static final Duration INITIAL_OPEN_DURATION = Duration.ofSeconds(2);
  private static final int MAX_DOUBLINGS = 5;

  private Instant openUntil = Instant.MIN;
  private int openings;

  private OutlierEjector() {}

  /** Creates an ejector whose circuit is closed. */
  public static OutlierEjector create() {
    return new OutlierEjector();
  }

  /**
   * Decides on an ejection, and on opening the circuit, after a failure of a minion was recorded.
   *
   * @param failed the minion at which the failure was recorded
   * @param all the minions of the service whose failure domain is in service
   * @param now the current time
   */
  public void afterFailure(MinionLoad failed, List<MinionLoad> all, Instant now) {
    if (!failed.health().isOutlier() || failed.health().isEjected(now)) {
      return;
    }
    long ejected = all.stream().filter(m -> m.health().isEjected(now)).count();
    if (ejected + 1 <= all.size() * MAX_EJECTED_SHARE) {
      failed.health().eject(now);
    }
    if (!isOpen(now) && all.stream().allMatch(m -> isFailing(m, now))) {
      openUntil =
          now.plus(INITIAL_OPEN_DURATION.multipliedBy(1L << Math.min(openings, MAX_DOUBLINGS)));
      openings++;
    }
  }

  /** Closes the circuit after a task of the service completed. */
  public void afterSuccess() {
    openUntil = Instant.MIN;
    openings = 0;
  }

  /** Returns whether the circuit is open, so that jobs of the service are refused immediately. */
  public boolean isOpen(Instant now) {
    return now.isBefore(openUntil);
  }

  private static boolean isFailing(MinionLoad m, Instant now) {
    return m.health().isEjected(now) || m.health().isOutlier() || m.isProbed();
  }
}
