package org.cassiastack.bench.load;

import java.io.PrintStream;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.daemon.command.Command;
import org.cassiastack.daemon.command.ExitCodes;
import org.cassiastack.model.CassiaException;

/** The command {@code compare}: prints two results of {@code cassia load} side by side. */
public final class CompareCommand implements Command {
  @Override
  public String name() {
    return "compare";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("print two results of 'load' side by side");
    parser.addArgument("first").metavar("A.json").help("a result file of 'load'");
    parser.addArgument("second").metavar("B.json").help("a result to compare with the first");
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    LoadResult first = ResultFiles.read(Path.of(arguments.getString("first")));
    LoadResult second = ResultFiles.read(Path.of(arguments.getString("second")));
    out.printf("%-28s %14s %14s %8s%n", "", first.name(), second.name(), "B/A");
    printCount("jobs", first.jobs(), second.jobs(), out);
    printCount("complete", first.complete(), second.complete(), out);
    printCount("without answer", first.unanswered(), second.unanswered(), out);
    printLine(
        "task starts a second", first.tasksStartedPerSecond(), second.tasksStartedPerSecond(), out);
    printLine("job time p50, ms", first.jobMillis().p50(), second.jobMillis().p50(), out);
    printLine("job time p99, ms", first.jobMillis().p99(), second.jobMillis().p99(), out);
    printLine("job time / ideal p50", first.ratio().p50(), second.ratio().p50(), out);
    printLine("job time / ideal p99", first.ratio().p99(), second.ratio().p99(), out);
    printCount("double starts", first.doubleStarts(), second.doubleStarts(), out);
    printCount("partial answers", first.partialAnswers(), second.partialAnswers(), out);
    printCount("false not-run answers", first.falseNotRun(), second.falseNotRun(), out);
    return ExitCodes.OK;
  }

  private static void printCount(String name, long first, long second, PrintStream out) {
    printLine(name, (double) first, (double) second, out);
  }

  private static void printLine(String name, double first, double second, PrintStream out) {
    String ratio = first == 0 ? "-" : "%.3f".formatted(second / first);
    out.printf("%-28s %14.2f %14.2f %8s%n", name, first, second, ratio);
  }
}
