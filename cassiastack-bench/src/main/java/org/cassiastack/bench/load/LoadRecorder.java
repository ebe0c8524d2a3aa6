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

/** Collects the answers of a trial; safe for use by many threads. */
final class LoadRecorder {
  private static final int DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double RATIO_UNITS = 1_000;

  private final Histogram jobMicros = new Histogram(DIGITS);
  private final Histogram idealMicros = new Histogram(DIGITS);
  private final Histogram ratios = new Histogram(DIGITS);
  private final Histogram interval = new Histogram(DIGITS);
  private final Map<String, Long> codes = new TreeMap<>();
  private final List<Point> timeline = new ArrayList<>();
  private final Map<JobId, Integer> notRun = new HashMap<>();
  private long recordArrival;
  private long recordAnswer;
  private long complete;
  private long partial;
  private long lastStarts;
  private long lastAnswerNanos;

  synchronized void recordArrival() {
    recordArrival++;
  }

  synchronized void recordAnswer(
      Job job, JobAnswer answer, Duration took, Duration ideal, long sinceBegin) {
    recordAnswer++;
    lastAnswerNanos = Math.max(lastAnswerNanos, sinceBegin);
    count(answer.code().number() + " " + answer.code());
    interval.recordValue(micros(took));
    if (answer.isComplete()) {
      complete++;
      jobMicros.recordValue(micros(took));
      idealMicros.recordValue(micros(ideal));
      // Tasks of no length have an ideal of 0, against which there is no ratio.
      if (!ideal.isZero()) {
        ratios.recordValue((long) (RATIO_UNITS * took.toNanos() / ideal.toNanos()));
      }
      partial += isWhole(job, answer) ? 0 : 1;
    } else if (answer.code().isNotRun()) {
      notRun.put(JobId.of(job), job.tasks().size());
    }
  }

  synchronized void recordFailure(Throwable cause) {
    count("none: " + cause.getClass().getSimpleName());
  }

  /** Closes the current second and returns its point. */
  synchronized Point endSecond(long starts) {
    long started = Math.max(0, starts - lastStarts);
    lastStarts = Math.max(lastStarts, starts);
    Point p =
        new Point(
            timeline.size() + 1,
            recordArrival,
            recordAnswer,
            started,
            interval.getValueAtPercentile(50) / MICROS_PER_MILLI,
            interval.getValueAtPercentile(99) / MICROS_PER_MILLI);
    interval.reset();
    timeline.add(p);
    return p;
  }

  synchronized LoadResult result(
      String name, Map<String, String> settings, SystemUnderLoad system) {
    Map<String, Integer> starts = system.startsByTask();
    long tasks = system.taskStarts();
    double seconds = lastAnswerNanos / 1e9;
    return new LoadResult(
        name,
        settings,
        recordArrival,
        complete,
        recordArrival - recordAnswer,
        tasks,
        tasks < 0 || seconds == 0 ? 0 : tasks / seconds,
        seconds,
        quantiles(jobMicros, MICROS_PER_MILLI),
        quantiles(idealMicros, MICROS_PER_MILLI),
        quantiles(ratios, RATIO_UNITS),
        new TreeMap<>(codes),
        starts.values().stream().filter(n -> n > 1).count(),
        partial,
        notRun.entrySet().stream().filter(j -> anyStarted(j, starts)).count(),
        List.copyOf(timeline));
  }

  private void count(String code) {
    codes.merge(code, 1L, Long::sum);
  }

  private static boolean anyStarted(Map.Entry<JobId, Integer> job, Map<String, Integer> starts) {
    for (int i = 0; i < job.getValue(); i++) {
      if (starts.containsKey(new TaskId(job.getKey(), i).toString())) {
        return true;
      }
    }
    return false;
  }

  /** The stand-in minions answer each task with its input. */
  private static boolean isWhole(Job job, JobAnswer answer) {
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

  private static long micros(Duration d) {
    return Math.max(0, d.toNanos() / 1_000);
  }

  private static Quantiles quantiles(Histogram h, double unit) {
    return new Quantiles(
        h.getMean() / unit,
        h.getValueAtPercentile(50) / unit,
        h.getValueAtPercentile(90) / unit,
        h.getValueAtPercentile(99) / unit,
        h.getMaxValue() / unit);
  }
}
