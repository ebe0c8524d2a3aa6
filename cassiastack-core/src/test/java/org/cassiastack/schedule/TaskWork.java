package org.cassiastack.schedule;

import java.time.Duration;
import java.util.List;

/** Work of the tasks of a simulated job. */
interface TaskWork {
  /** Returns the run time of a task at speed 1 on a worker with the given labels. */
  Duration of(int task, List<String> labels);
}
