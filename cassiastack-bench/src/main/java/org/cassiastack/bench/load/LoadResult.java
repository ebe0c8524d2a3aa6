package org.cassiastack.bench.load;

import java.util.List;
import java.util.Map;

/**
 * The result of a load run. Job times are measured from the intended arrival, in milliseconds.
 *
 * @param name name of the run
 * @param settings values of the command's options, by option
 * @param jobs jobs that arrived
 * @param complete jobs with a complete answer
 * @param unanswered jobs without any answer
 * @param tasksStarted task starts that the minions counted, or -1 when unknown
 * @param tasksStartedPerSecond task starts divided by {@code seconds}, or 0 when unknown
 * @param seconds time from the start of the run to the last answer
 * @param jobMillis quantiles of the job time of complete jobs
 * @param idealMillis quantiles of the ideal job time of the same jobs
 * @param ratio quantiles of job time divided by ideal job time, of complete jobs with an ideal job
 *     time above 0
 * @param codes number of answers by result code, and of calls without an answer by type of error
 * @param doubleStarts tasks that started more than once, or 0 when the starts are unknown
 * @param partialAnswers complete answers that lack the output of a task or hold a wrong output
 * @param falseNotRun jobs answered as not run although a task started during the run, or 0 when the
 *     starts are unknown
 * @param timeline one point for each second of the run
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
   * Mean and quantiles of a distribution.
   *
   * @param mean the mean
   * @param p50 the median
   * @param p90 the 90th percentile
   * @param p99 the 99th percentile
   * @param max the maximum
   */
  public record Quantiles(double mean, double p50, double p90, double p99, double max) {}

  /**
   * One second of a run.
   *
   * @param second number of the second, from 1
   * @param arrived jobs that arrived since the start of the run
   * @param answered jobs that were answered since the start of the run
   * @param tasksStarted task starts within the second, or 0 when unknown
   * @param p50 median job time of the jobs answered within the second, or 0 without answers
   * @param p99 99th percentile of the same job times
   */
  public record Point(
      long second, long arrived, long answered, long tasksStarted, double p50, double p99) {}
}
