package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.runs.MinionClockDrift;

/**
 * Bounds on the clock of a minion, from the times that it tells. Its clock may be slow by a
 * fiftieth and its words take time, so at any moment it shows at least what is reckoned here.
 */
final class MinionClock {
  /** Share of true time that the slowest allowed clock shows, in hundredths. */
  private static final long SLOWEST_PERCENT =
      MinionClockDrift.ONE_HUNDRED_PERCENT - MinionClockDrift.MAX_LAG_PERCENT;

  private long sampleMillis;
  private Instant sampledAt = Instant.MIN;

  void reset() {
    sampledAt = Instant.MIN;
  }

  void addSample(long millis, Instant now) {
    if (!isKnown() || millis > lowerBoundMillis(now)) {
      sampleMillis = millis;
      sampledAt = now;
    }
  }

  boolean isKnown() {
    return !sampledAt.equals(Instant.MIN);
  }

  /** Returns a time that the clock has reached by now. */
  long lowerBoundMillis(Instant now) {
    long elapsed = Duration.between(sampledAt, now).toMillis();
    return sampleMillis + elapsed * SLOWEST_PERCENT / MinionClockDrift.ONE_HUNDRED_PERCENT;
  }

  /** Returns a moment at which the clock has surely passed a time. */
  Instant certainlyPassedAt(long millis) {
    long ahead = Math.max(0, millis - sampleMillis) + 1;
    return sampledAt.plusMillis(ahead * MinionClockDrift.ONE_HUNDRED_PERCENT / SLOWEST_PERCENT + 1);
  }
}
