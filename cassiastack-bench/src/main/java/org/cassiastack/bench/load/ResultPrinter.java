package org.cassiastack.bench.load;

import java.io.PrintStream;
import org.cassiastack.bench.load.LoadResult.Quantiles;

/** Results in lines for people. */
final class ResultPrinter {
  private ResultPrinter() {}

  static void print(LoadResult r, PrintStream out) {
    out.printf(
        "%s: %d jobs, %d complete, %d without answer, %.1f s.%n",
        r.name(), r.jobs(), r.complete(), r.unanswered(), r.seconds());
    if (r.tasksStarted() >= 0) {
      out.printf("  %d task starts, %.1f a second%n", r.tasksStarted(), r.tasksStartedPerSecond());
    }
    print("job time, ms", r.jobMillis(), out);
    print("ideal job time, ms", r.idealMillis(), out);
    print("job time / ideal", r.ratio(), out);
    r.codes().forEach((code, count) -> out.printf("  %6d answers %s%n", count, code));
    out.printf(
        "  %d double starts, %d partial answers, %d false not-run answers%n",
        r.doubleStarts(), r.partialAnswers(), r.falseNotRun());
  }

  private static void print(String name, Quantiles q, PrintStream out) {
    out.printf(
        "  %-20s mean %8.2f  p50 %8.2f  p90 %8.2f  p99 %8.2f  max %8.2f%n",
        name, q.mean(), q.p50(), q.p90(), q.p99(), q.max());
  }
}
