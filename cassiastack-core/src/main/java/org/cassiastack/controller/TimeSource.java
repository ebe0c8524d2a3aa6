package org.cassiastack.controller;

import java.time.Instant;

/**
 * Tells the present time to the edges of the system, which hand it to deciding code as an argument.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface TimeSource {
  /** Returns the present time; it never goes back within one process. */
  Instant now();

  /**
   * The time source of a running process: the wall clock at the moment of this call, carried on by
   * the monotonic clock. While a machine is suspended only the wall clock goes on, so the further
   * of the two steps counts; a step of the wall clock ahead ends leases early, which is safe, and a
   * step back has no effect.
   */
  static TimeSource system() {
    return SuspendAwareTimeSource.of(Instant::now, System::nanoTime);
  }
}
