package org.cassiastack.schedule.internal;

/** Is told of jobs that have ended by their runs. */
interface JobEnds {
  /** A task has failed too often. */
  void failed(LiveJob job);

  /** Every task is done. */
  void completed(LiveJob job);
}
