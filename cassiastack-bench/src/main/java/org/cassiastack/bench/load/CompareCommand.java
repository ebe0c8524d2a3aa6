package org.cassiastack.bench.load;

import java.io.PrintStream;
import java.nio.file.Path;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.daemon.command.Command;
import org.cassiastack.daemon.command.ExitCodes;
import org.cassiastack.model.CassiaException;

/** Prints two results of {@code cassia load} side by side. */
public final class CompareCommand implements Command {
  @Override
  public String name() {
    return "compare";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("print two results of 'load' side by side");
    parser.addArgument("first").metavar("A.json").help("a result");
    parser.addArgument("second").metavar("B.json").help("the result to set against it");
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    LoadResult a = ResultFiles.read(Path.of(arguments.getString("first")));
    LoadResult b = ResultFiles.read(Path.of(arguments.getString("second")));
    out.printf("%-28s %14s %14s %8s%n", "", a.name(), b.name(), "B/A");
    count("jobs", a.jobs(), b.jobs(), out);
    count("complete", a.complete(), b.complete(), out);
    count("without answer", a.unanswered(), b.unanswered(), out);
    line("task starts a second", a.tasksStartedPerSecond(), b.tasksStartedPerSecond(), out);
    line("job time p50, ms", a.jobMillis().p50(), b.jobMillis().p50(), out);
    line("job time p99, ms", a.jobMillis().p99(), b.jobMillis().p99(), out);
    line("job time / ideal p50", a.ratio().p50(), b.ratio().p50(), out);
    line("job time / ideal p99", a.ratio().p99(), b.ratio().p99(), out);
    count("double starts", a.doubleStarts(), b.doubleStarts(), out);
    count("partial answers", a.partialAnswers(), b.partialAnswers(), out);
    count("false not-run answers", a.falseNotRun(), b.falseNotRun(), out);
    return ExitCodes.OK;
  }

  private static void count(String name, long a, long b, PrintStream out) {
    line(name, (double) a, (double) b, out);
  }

  private static void line(String name, double a, double b, PrintStream out) {
    String ratio = a == 0 ? "-" : "%.3f".formatted(b / a);
    out.printf("%-28s %14.2f %14.2f %8s%n", name, a, b, ratio);
  }
}
