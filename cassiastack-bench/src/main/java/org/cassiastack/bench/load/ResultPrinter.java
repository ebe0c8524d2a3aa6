package org.cassiastack.bench.load;

import java.io.PrintStream;
import org.cassiastack.bench.load.LoadResult.Quantiles;

/** Prints the result of a load run as text. */
final class ResultPrinter {
  private ResultPrinter() {}

  static void print(LoadResult result, PrintStream out) {
    out.printf(
        "%s: %d jobs, %d complete, %d without answer, %.1f s.%n",
        result.name(), result.jobs(), result.complete(), result.unanswered(), result.seconds());
    if (result.tasksStarted() >= 0) {
      out.printf(
          "  %d task starts, %.1f a second%n",
          result.tasksStarted(), result.tasksStartedPerSecond());
    }
    printQuantiles("job time, ms", result.jobMillis(), out);
    printQuantiles("ideal job time, ms", result.idealMillis(), out);
    printQuantiles("job time / ideal", result.ratio(), out);
    result.codes().forEach((code, count) -> out.printf("  %6d answers %s%n", count, code));
    out.printf(
        "  %d double starts, %d partial answers, %d false not-run answers%n",
        result.doubleStarts(), result.partialAnswers(), result.falseNotRun());
  }

  private static void printQuantiles(String name, Quantiles quantiles, PrintStream out) {
    out.printf(
        "  %-20s mean %8.2f  p50 %8.2f  p90 %8.2f  p99 %8.2f  max %8.2f%n",
        name, quantiles.mean(), quantiles.p50(), quantiles.p90(), quantiles.p99(), quantiles.max());
  }
}
