package org.cassiastack.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * A time source that advances with the monotonic clock. If the wall clock has advanced much further
 * since the last reading, as it does while the machine is suspended, the time advances with the
 * wall clock instead.
 */
final class SuspendAwareTimeSource implements TimeSource {
  /**
   * Minimum lead of the wall clock over the monotonic clock since the last reading that counts as a
   * suspension. A smaller lead is taken for a correction of the wall clock and ignored.
   */
  private static final Duration MIN_SUSPENSION = Duration.ofMillis(100);

  private final Supplier<Instant> wallClock;
  private final LongSupplier monotonicNanos;
  private Instant now;
  private Instant lastWall;
  private long lastNanos;
  private Duration totalLeap = Duration.ZERO;

  private SuspendAwareTimeSource(Supplier<Instant> wallClock, LongSupplier monotonicNanos) {
    this.wallClock = wallClock;
    this.monotonicNanos = monotonicNanos;
    this.lastWall = wallClock.get();
    this.lastNanos = monotonicNanos.getAsLong();
    this.now = lastWall;
  }

  static SuspendAwareTimeSource of(Supplier<Instant> wallClock, LongSupplier monotonicNanos) {
    return new SuspendAwareTimeSource(wallClock, monotonicNanos);
  }

  @Override
  public synchronized Instant now() {
    long nanos = monotonicNanos.getAsLong();
    Instant wallNow = wallClock.get();
    Duration monotonicElapsed = Duration.ofNanos(nanos - lastNanos);
    Duration wallElapsed = Duration.between(lastWall, wallNow);
    boolean suspended = wallElapsed.minus(monotonicElapsed).compareTo(MIN_SUSPENSION) > 0;
    now = now.plus(suspended ? wallElapsed : monotonicElapsed);
    if (suspended) {
      totalLeap = totalLeap.plus(wallElapsed).minus(monotonicElapsed);
    }
    lastNanos = nanos;
    lastWall = wallNow;
    return now;
  }

  @Override
  public synchronized Duration totalLeap() {
    return totalLeap;
  }
}
