package org.cassiastack.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Ejects the minions of one service whose tasks all fail, up to a share of them, and opens the
 * circuit of the service when every minion fails.
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
  private static final double LARGEST_SHARE = 0.5;
  private static final Duration FIRST_OPEN = Duration.ofSeconds(2);
  private static final int MOST_DOUBLINGS = 5;

  private Instant openUntil = Instant.MIN;
  private int openings;

  private OutlierEjector() {}

  /** Makes an ejector that has ejected nothing. */
  public static OutlierEjector create() {
    return new OutlierEjector();
  }

  /**
   * Decides after a failure was counted at a minion.
   *
   * @param failed the minion
   * @param all the minions of the service
   * @param now the present time
   */
  public void afterFailure(MinionLoad failed, List<MinionLoad> all, Instant now) {
    if (!failed.health().isOutlier() || failed.health().isEjected(now)) {
      return;
    }
    long ejected = all.stream().filter(m -> m.health().isEjected(now)).count();
    if (ejected + 1 <= all.size() * LARGEST_SHARE) {
      failed.health().eject(now);
    }
    if (!isOpen(now) && all.stream().allMatch(m -> isBad(m, now))) {
      openUntil = now.plus(FIRST_OPEN.multipliedBy(1L << Math.min(openings, MOST_DOUBLINGS)));
      openings++;
    }
  }

  /** Closes the circuit after a task completed. */
  public void afterSuccess() {
    openUntil = Instant.MIN;
    openings = 0;
  }

  /** Tells whether jobs of the service are refused at once. */
  public boolean isOpen(Instant now) {
    return now.isBefore(openUntil);
  }

  private static boolean isBad(MinionLoad m, Instant now) {
    return m.health().isEjected(now) || m.health().isOutlier() || m.isProbed();
  }
}
