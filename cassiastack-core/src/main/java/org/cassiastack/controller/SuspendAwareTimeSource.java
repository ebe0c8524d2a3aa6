package org.cassiastack.controller;

import java.time.Duration;
import java.time.Instant;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Time that goes on with the monotonic clock, and with the wall clock where that is far ahead. */
final class SuspendAwareTimeSource implements TimeSource {
  /** Corrections of the wall clock below this are left to the monotonic clock. */
  private static final Duration LEAST_STEP = Duration.ofMillis(100);

  private final Supplier<Instant> wall;
  private final LongSupplier monotonicNanos;
  private Instant now;
  private Instant lastWall;
  private long lastNanos;

  private SuspendAwareTimeSource(Supplier<Instant> wall, LongSupplier monotonicNanos) {
    this.wall = wall;
    this.monotonicNanos = monotonicNanos;
    this.lastWall = wall.get();
    this.lastNanos = monotonicNanos.getAsLong();
    this.now = lastWall;
  }

  static SuspendAwareTimeSource of(Supplier<Instant> wall, LongSupplier monotonicNanos) {
    return new SuspendAwareTimeSource(wall, monotonicNanos);
  }

  @Override
  public synchronized Instant now() {
    long nanos = monotonicNanos.getAsLong();
    Instant wallNow = wall.get();
    Duration steady = Duration.ofNanos(nanos - lastNanos);
    Duration shown = Duration.between(lastWall, wallNow);
    boolean suspended = shown.minus(steady).compareTo(LEAST_STEP) > 0;
    now = now.plus(suspended ? shown : steady);
    lastNanos = nanos;
    lastWall = wallNow;
    return now;
  }
}
