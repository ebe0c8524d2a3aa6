package org.cassiastack.schedule.internal;

/**
 * How late a job ends, from best to worst, compared with the latency objective and the time limit
 * for a useful end, both of which {@link LiveJob} computes.
 */
enum Lateness {
  /** The job can end within its latency objective. */
  ON_TIME,
  /** The job misses its latency objective, but ends early enough to be useful to its caller. */
  LATE,
  /** The job ends too late to be useful to its caller. */
  USELESS
}
