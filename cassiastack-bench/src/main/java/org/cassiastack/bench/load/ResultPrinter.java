package org.cassiastack.bench.load;

import java.io.PrintStream;
import org.cassiastack.bench.load.LoadResult.Quantiles;

/** Prints results as text. */
final class ResultPrinter {
  private ResultPrinter() {}

  static void print(LoadResult r, PrintStream out) {
    out.printf(
        "%s: %d jobs, %d complete, %d without answer, %.1f s.%n",
        r.name(), r.jobs(), r.complete(), r.unanswered(), r.seconds());
    if (r.tasksStarted() >= 0) {
      out.printf("  %d task starts, %.1f a second%n", r.tasksStarted(), r.tasksStartedPerSecond());
    }
    printQuantiles("job time, ms", r.jobMillis(), out);
    printQuantiles("ideal job time, ms", r.idealMillis(), out);
    printQuantiles("job time / ideal", r.ratio(), out);
    r.codes().forEach((code, count) -> out.printf("  %6d answers %s%n", count, code));
    out.printf(
        "  %d double starts, %d partial answers, %d false not-run answers%n",
        r.doubleStarts(), r.partialAnswers(), r.falseNotRun());
  }

  private static void printQuantiles(String name, Quantiles quantiles, PrintStream out) {
    out.printf(
        "  %-20s mean %8.2f  p50 %8.2f  p90 %8.2f  p99 %8.2f  max %8.2f%n",
        name, quantiles.mean(), quantiles.p50(), quantiles.p90(), quantiles.p99(), quantiles.max());
  }
}
