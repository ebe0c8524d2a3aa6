package org.cassiastack.controller;

import java.time.Duration;
import java.time.Instant;

/**
 * Supplies the current time to the outer layers of the system, which pass it as an argument to the
 * code that decides.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface TimeSource {
  /** Returns the current time. The time never goes back within one process. */
  Instant now();

  /**
   * Returns the total time by which {@link #now} has advanced further than the monotonic clock. A
   * value that is read after {@code now} includes every leap that {@code now} does.
   */
  default Duration totalLeap() {
    return Duration.ZERO;
  }

  /**
   * Returns the time source of a running process. It starts at the wall-clock time of this call and
   * advances with the monotonic clock. While a machine is suspended only the wall clock advances,
   * so if the wall clock has advanced much further than the monotonic clock, the time advances with
   * the wall clock. A large forward step of the wall clock therefore ends the leases that a process
   * holds early, which is safe. For the leases of others see {@link ClockLeaped}. A backward step
   * has no effect.
   */
  static TimeSource system() {
    return SuspendAwareTimeSource.of(Instant::now, System::nanoTime);
  }
}
