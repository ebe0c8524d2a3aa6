package org.cassiastack.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.cassiastack.bench.load.LoadResult.Point;
import org.cassiastack.bench.load.LoadResult.Quantiles;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobId;
import org.cassiastack.model.TaskId;

/**
 * Records arrivals and answers of a load run and computes the result. All methods are safe for use
 * by many threads.
 */
final class LoadRecorder {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000;

  /** Ratios are recorded in thousandths, because a histogram holds whole numbers. */
  private static final double RATIO_SCALE = 1_000;

  private final Histogram jobMicros = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram idealMicros = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram ratios = new Histogram(SIGNIFICANT_DIGITS);
  private final Histogram currentSecondMicros = new Histogram(SIGNIFICANT_DIGITS);
  private final Map<String, Long> codes = new TreeMap<>();
  private final List<Point> timeline = new ArrayList<>();
  private final Map<JobId, Integer> taskCountsOfJobsNotRun = new HashMap<>();
  private long arrived;
  private long answered;
  private long complete;
  private long partial;
  private long previousTaskStarts;
  private long lastAnswerNanos;

  synchronized void recordArrival() {
    arrived++;
  }

  synchronized void recordAnswer(
      Job job, JobAnswer answer, Duration jobTime, Duration idealJobTime, long nanosSinceStart) {
    answered++;
    lastAnswerNanos = Math.max(lastAnswerNanos, nanosSinceStart);
    countAnswer(answer.code().number() + " " + answer.code());
    currentSecondMicros.recordValue(micros(jobTime));
    if (answer.isComplete()) {
      complete++;
      jobMicros.recordValue(micros(jobTime));
      idealMicros.recordValue(micros(idealJobTime));
      // A job whose tasks all have run time 0 has ideal time 0, for which the ratio is undefined.
      if (!idealJobTime.isZero()) {
        ratios.recordValue((long) (RATIO_SCALE * jobTime.toNanos() / idealJobTime.toNanos()));
      }
      partial += hasAllOutputs(job, answer) ? 0 : 1;
    } else if (answer.code().isNotRun()) {
      taskCountsOfJobsNotRun.put(JobId.of(job), job.tasks().size());
    }
  }

  synchronized void recordFailure(Throwable cause) {
    countAnswer("none: " + cause.getClass().getSimpleName());
  }

  /**
   * Ends the current second, adds a point for this second to the timeline and returns the point.
   *
   * @param taskStarts number of task starts so far, or -1 when unknown
   */
  synchronized Point endSecond(long taskStarts) {
    long started = Math.max(0, taskStarts - previousTaskStarts);
    previousTaskStarts = Math.max(previousTaskStarts, taskStarts);
    Point point =
        new Point(
            timeline.size() + 1,
            arrived,
            answered,
            started,
            currentSecondMicros.getValueAtPercentile(50) / MICROS_PER_MILLI,
            currentSecondMicros.getValueAtPercentile(99) / MICROS_PER_MILLI);
    currentSecondMicros.reset();
    timeline.add(point);
    return point;
  }

  synchronized LoadResult result(
      String name, Map<String, String> settings, SystemUnderLoad system) {
    Map<String, Integer> startsByTask = system.startsByTask();
    long taskStarts = system.taskStarts();
    double seconds = lastAnswerNanos / 1e9;
    return new LoadResult(
        name,
        settings,
        arrived,
        complete,
        arrived - answered,
        taskStarts,
        taskStarts < 0 || seconds == 0 ? 0 : taskStarts / seconds,
        seconds,
        quantiles(jobMicros, MICROS_PER_MILLI),
        quantiles(idealMicros, MICROS_PER_MILLI),
        quantiles(ratios, RATIO_SCALE),
        new TreeMap<>(codes),
        startsByTask.values().stream().filter(starts -> starts > 1).count(),
        partial,
        taskCountsOfJobsNotRun.entrySet().stream()
            .filter(job -> anyStarted(job, startsByTask))
            .count(),
        List.copyOf(timeline));
  }

  private void countAnswer(String code) {
    codes.merge(code, 1L, Long::sum);
  }

  private static boolean anyStarted(
      Map.Entry<JobId, Integer> job, Map<String, Integer> startsByTask) {
    for (int i = 0; i < job.getValue(); i++) {
      if (startsByTask.containsKey(new TaskId(job.getKey(), i).toString())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether an answer holds the output of every task. Stand-in minions return the input of
   * a task as its output.
   */
  private static boolean hasAllOutputs(Job job, JobAnswer answer) {
    if (answer.results().size() != job.tasks().size()) {
      return false;
    }
    for (int i = 0; i < job.tasks().size(); i++) {
      if (!answer.results().get(i).output().equals(job.tasks().get(i).payload())) {
        return false;
      }
    }
    return true;
  }

  private static long micros(Duration duration) {
    return Math.max(0, duration.toNanos() / 1_000);
  }

  private static Quantiles quantiles(Histogram histogram, double unit) {
    return new Quantiles(
        histogram.getMean() / unit,
        histogram.getValueAtPercentile(50) / unit,
        histogram.getValueAtPercentile(90) / unit,
        histogram.getValueAtPercentile(99) / unit,
        histogram.getMaxValue() / unit);
  }
}
