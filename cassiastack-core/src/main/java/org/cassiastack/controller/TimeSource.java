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
   * the monotonic clock, so that steps of the wall clock reach no lease and no timeout.
   */
  static TimeSource system() {
    Instant origin = Instant.now();
    long originNanos = System.nanoTime();
    return () -> origin.plusNanos(System.nanoTime() - originNanos);
  }
}
