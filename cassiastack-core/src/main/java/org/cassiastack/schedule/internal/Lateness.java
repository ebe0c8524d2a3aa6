package org.cassiastack.schedule.internal;

/** How late a job ends if it starts now, from best to worst. */
enum Lateness {
  /** The job can end within its objective. */
  ON_TIME,
  /** The job misses its objective, but ends early enough to be useful to its caller. */
  LATE,
  /** The job ends too late to be useful. */
  USELESS
}
