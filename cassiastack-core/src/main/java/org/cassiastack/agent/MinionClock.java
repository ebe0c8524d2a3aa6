package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.runs.MinionClockDrift;

/**
 * Computes bounds of the minion's clock from the readings that the minion sends. The clock may be
 * slow by a fiftieth and a reading takes time to arrive, so the clock always shows at least the
 * lower bound that is computed here.
 */
final class MinionClock {
  /** Rate of the slowest permitted clock, in percent of true time. */
  private static final long MIN_RATE_PERCENT =
      MinionClockDrift.ONE_HUNDRED_PERCENT - MinionClockDrift.MAX_LAG_PERCENT;

  private long sampleMillis;
  private Instant sampledAt = Instant.MIN;

  void reset() {
    sampledAt = Instant.MIN;
  }

  /** Adds a reading of the clock, unless an earlier reading implies a later time. */
  void addSample(long millis, Instant now) {
    if (!isKnown() || millis > lowerBoundMillis(now)) {
      sampleMillis = millis;
      sampledAt = now;
    }
  }

  /** Records that the agent's clock, but not the minion's, has leaped. */
  void onLocalClockLeaped(Duration leap) {
    if (isKnown()) {
      sampledAt = sampledAt.plus(leap);
    }
  }

  boolean isKnown() {
    return !sampledAt.equals(Instant.MIN);
  }

  /** Returns a time that the clock has certainly reached at the given instant. Needs a reading. */
  long lowerBoundMillis(Instant now) {
    long elapsed = Duration.between(sampledAt, now).toMillis();
    return sampleMillis + elapsed * MIN_RATE_PERCENT / MinionClockDrift.ONE_HUNDRED_PERCENT;
  }

  /** Returns the time that passes while the slowest permitted clock shows a duration. */
  static Duration longestTimeOf(Duration shown) {
    return shown.multipliedBy(MinionClockDrift.ONE_HUNDRED_PERCENT).dividedBy(MIN_RATE_PERCENT);
  }

  /** Returns an instant at which the clock has certainly passed a given time. Needs a reading. */
  Instant certainlyPassedAt(long millis) {
    long ahead = Math.max(0, millis - sampleMillis) + 1;
    return sampledAt.plusMillis(
        ahead * MinionClockDrift.ONE_HUNDRED_PERCENT / MIN_RATE_PERCENT + 1);
  }
}
