package org.cassiastack.bench.load;

import java.util.List;
import java.util.Map;

/**
 * What came of a trial. Times are in milliseconds and count from the intended arrival.
 *
 * @param name name of the trial
 * @param settings what was asked for, by option
 * @param jobs jobs that arrived
 * @param complete jobs that were answered whole
 * @param unanswered jobs without any answer
 * @param tasksStarted task starts that the minions counted, or -1
 * @param tasksStartedPerSecond task starts over the time to the last answer
 * @param seconds time to the last answer
 * @param jobMillis quantiles of job time of complete jobs
 * @param idealMillis quantiles of the ideal job time of the same jobs
 * @param ratio quantiles of job time over ideal job time
 * @param codes answers by result code
 * @param doubleStarts tasks that started more than once
 * @param partialAnswers complete answers that did not hold each task's own output
 * @param falseNotRun jobs answered as not run although a task had started
 * @param timeline one point for each second
 * @since 0.1
 */
public record LoadResult(
    String name,
    Map<String, String> settings,
    long jobs,
    long complete,
    long unanswered,
    long tasksStarted,
    double tasksStartedPerSecond,
    double seconds,
    Quantiles jobMillis,
    Quantiles idealMillis,
    Quantiles ratio,
    Map<String, Long> codes,
    long doubleStarts,
    long partialAnswers,
    long falseNotRun,
    List<Point> timeline) {
  /**
   * Points of a distribution.
   *
   * @param mean the mean
   * @param p50 the median
   * @param p90 nine of ten are at most this
   * @param p99 99 of 100 are at most this
   * @param max the largest
   */
  public record Quantiles(double mean, double p50, double p90, double p99, double max) {}

  /**
   * One second of a trial.
   *
   * @param second since the begin
   * @param arrived jobs that arrived so far
   * @param answered jobs that were answered so far
   * @param tasksStarted task starts within the second, or 0 when unknown
   * @param p50 median job time of the jobs answered within the second
   * @param p99 job time that 99 of 100 of them kept to
   */
  public record Point(
      long second, long arrived, long answered, long tasksStarted, double p50, double p99) {}
}
