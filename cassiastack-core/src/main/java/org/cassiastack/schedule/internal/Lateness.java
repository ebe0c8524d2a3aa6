package org.cassiastack.schedule.internal;

/** What a job that starts now can still be worth to its caller, best first. */
enum Lateness {
  /** It can end within its objective. */
  ON_TIME,
  /** It will end late, but soon enough to be of some use. */
  LATE,
  /** It will end too late to be of use. */
  USELESS
}
