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

/** What came of one trial. */
final class SimulationResult {
  private final Scenario scenario;
  private final List<Double> ratios = new ArrayList<>();
  private final Map<ResultCode, Integer> codes = new EnumMap<>(ResultCode.class);
  private long dispatches;
  private long starts;
  private long others;
  private long tasksDone;
  private long tasksInWindow;
  private Duration maxRefusalTime = Duration.ZERO;

  SimulationResult(Scenario scenario) {
    this.scenario = scenario;
  }

  void recordMessage(Message m) {
    if (m instanceof Dispatch) {
      dispatches++;
    } else if (m instanceof TaskNotStarted || m instanceof CancelTasks) {
      others++;
    }
  }

  void recordStart() {
    starts++;
  }

  void recordAnswer(Job job, JobAnswer answer, Duration took, boolean inWindow) {
    codes.merge(answer.code(), 1, Integer::sum);
    if (answer.isComplete()) {
      ratios.add((double) took.toNanos() / scenario.idealJobTime(job).toNanos());
      tasksDone += job.tasks().size();
      tasksInWindow += inWindow ? job.tasks().size() : 0;
    } else if (answer.code() == ResultCode.OVERLOADED || answer.code() == ResultCode.NO_MINION) {
      maxRefusalTime = maxRefusalTime.compareTo(took) >= 0 ? maxRefusalTime : took;
    }
  }

  /** Returns a quantile of job time over ideal time, of complete jobs. */
  double jobTimeRatio(double quantile) {
    if (ratios.isEmpty()) {
      return Double.NaN;
    }
    Collections.sort(ratios);
    return ratios.get((int) Math.min(ratios.size() - 1, quantile * ratios.size()));
  }

  /** Returns messages that led to no start, for each task of a complete job. */
  double wastedMessagesPerTask() {
    return (double) (dispatches - starts + others) / Math.max(1, tasksDone);
  }

  /** Returns tasks of complete jobs a second as a share of what the minions can do. */
  double goodput() {
    return tasksInWindow / (scenario.maxTasksPerSecond() * scenario.arrivalPeriod().toSeconds());
  }

  Map<ResultCode, Integer> codes() {
    return codes;
  }

  Duration maxRefusalTime() {
    return maxRefusalTime;
  }
}
