package org.cassiastack.bench.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.ResultCode;
import org.cassiastack.protocol.CancelTasks;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.TaskNotStarted;

/** Counters and answers of one simulation. */
final class SimulationResult {
  private final Scenario scenario;
  private final List<Double> ratios = new ArrayList<>();
  private final Map<ResultCode, Integer> codes = new EnumMap<>(ResultCode.class);
  private long dispatches;
  private long starts;
  private long notStartedAndCancelMessages;
  private long completedTasks;
  private long tasksCompletedInArrivalPeriod;
  private Duration maxRefusalTime = Duration.ZERO;

  SimulationResult(Scenario scenario) {
    this.scenario = scenario;
  }

  void recordMessage(Message message) {
    if (message instanceof Dispatch) {
      dispatches++;
    } else if (message instanceof TaskNotStarted || message instanceof CancelTasks) {
      notStartedAndCancelMessages++;
    }
  }

  void recordStart() {
    starts++;
  }

  /**
   * Records the answer to a job.
   *
   * @param jobTime time from the submission to the answer
   * @param inArrivalPeriod whether the answer came while jobs were still arriving
   */
  void recordAnswer(Job job, JobAnswer answer, Duration jobTime, boolean inArrivalPeriod) {
    codes.merge(answer.code(), 1, Integer::sum);
    if (answer.isComplete()) {
      ratios.add((double) jobTime.toNanos() / scenario.idealJobTime(job).toNanos());
      completedTasks += job.tasks().size();
      tasksCompletedInArrivalPeriod += inArrivalPeriod ? job.tasks().size() : 0;
    } else if (answer.code() == ResultCode.OVERLOADED || answer.code() == ResultCode.NO_MINION) {
      maxRefusalTime = maxRefusalTime.compareTo(jobTime) >= 0 ? maxRefusalTime : jobTime;
    }
  }

  /**
   * Returns a quantile of job time divided by ideal job time, of complete jobs.
   *
   * @param quantile the quantile, from 0 to 1
   * @return the ratio, or NaN when no job was complete
   */
  double jobTimeRatio(double quantile) {
    if (ratios.isEmpty()) {
      return Double.NaN;
    }
    Collections.sort(ratios);
    return ratios.get((int) Math.min(ratios.size() - 1, quantile * ratios.size()));
  }

  /**
   * Returns the number of messages that did not lead to a task start, divided by the number of
   * tasks of complete jobs. These messages are dispatches without a start, {@link TaskNotStarted}
   * and {@link CancelTasks}.
   */
  double wastedMessagesPerTask() {
    return (double) (dispatches - starts + notStartedAndCancelMessages)
        / Math.max(1, completedTasks);
  }

  /**
   * Returns the throughput of tasks of complete jobs during the arrival period, as a share of the
   * capacity of all working minions.
   */
  double goodput() {
    return tasksCompletedInArrivalPeriod
        / (scenario.maxTasksPerSecond() * scenario.arrivalPeriod().toSeconds());
  }

  /** Returns the number of answers by result code. */
  Map<ResultCode, Integer> codes() {
    return codes;
  }

  /** Returns the longest time until an answer OVERLOADED or NO_MINION; zero without any. */
  Duration maxRefusalTime() {
    return maxRefusalTime;
  }
}
