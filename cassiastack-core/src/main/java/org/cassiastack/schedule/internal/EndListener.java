package org.cassiastack.schedule.internal;

import org.jspecify.annotations.Nullable;

/** Hands ends of jobs to a listener that is made after the runs which tell of them. */
final class EndListener implements JobEnds {
  private @Nullable JobEnds target;

  void connect(JobEnds listener) {
    target = listener;
  }

  @Override
  public void failed(LiveJob job) {
    if (target != null) {
      target.failed(job);
    }
  }

  @Override
  public void completed(LiveJob job) {
    if (target != null) {
      target.completed(job);
    }
  }
}
