package org.cassiastack.bench.load;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.bench.local.LocalSystem;
import org.cassiastack.bench.local.LocalSystemSpec;
import org.cassiastack.bench.local.LocalSystemSpec.SeparateProcesses;
import org.cassiastack.daemon.command.Command;
import org.cassiastack.daemon.command.ExitCodes;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;
import org.cassiastack.model.ServiceName;
import org.jspecify.annotations.Nullable;

/** Puts a mix of jobs on a system and prints response times beside the ideal. */
public final class LoadCommand implements Command {
  private static final double DEFAULT_UTILIZATION = 0.6;

  @Override
  public String name() {
    return "load";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("put load on a system and measure it against an ideal schedule");
    parser.addArgument("--preset").setDefault("ayaz").help("ayaz or inyenyeri");
    parser.addArgument("--name").setDefault("load").help("name of the trial and of its files");
    parser.addArgument("--seconds").type(Integer.class).setDefault(10).help("how long jobs arrive");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("equal seeds, equal jobs");
    parser
        .addArgument("--utilization")
        .type(Double.class)
        .setDefault(DEFAULT_UTILIZATION)
        .help("part of the slots that the jobs keep busy");
    parser.addArgument("--jobs-per-second").type(Double.class).help("in place of --utilization");
    parser
        .addArgument("--burst")
        .type(Integer.class)
        .setDefault(1)
        .help("jobs that arrive at once");
    parser.addArgument("--tasks").help("tasks of a job, in place of the mix, as uniform:1:200");
    parser.addArgument("--run-millis").help("run time of a task, in place of the mix");
    parser.addArgument("--entries").type(Integer.class).setDefault(3).help("number of entries");
    parser.addArgument("--agents").type(Integer.class).help("number of agents, of equal speed");
    parser.addArgument("--slots").type(Integer.class).help("slots of each minion");
    parser
        .addArgument("--processes")
        .action(Arguments.storeTrue())
        .help("a process for each daemon");
    parser.addArgument("--address").nargs("+").help("callers' addresses of a running system");
    parser.addArgument("--timeout-seconds").type(Integer.class).setDefault(60);
    parser.addArgument("--script").help("file with steps such as '10 kill agent-3'");
    parser.addArgument("--out").help("folder for NAME.json, NAME.csv and NAME.png");
  }

  @Override
  public int run(Namespace a, PrintStream out) throws CassiaException {
    Preset preset = preset(a);
    Double asked = a.getDouble("jobs_per_second");
    double rate = asked == null ? preset.jobsPerSecond(a.getDouble("utilization")) : asked;
    int burst = a.getInt("burst");
    LoadPlan plan =
        LoadPlan.draw(
            preset,
            burst > 1 ? Arrivals.bursts(burst) : Arrivals.poisson(),
            rate,
            Duration.ofSeconds(a.getInt("seconds")),
            a.getLong("seed"));
    if (plan.jobs().isEmpty()) {
      throw CassiaException.of(Refusals.malformed("no job arrives in this time at this rate"));
    }
    String script = a.getString("script");
    Script steps = script == null ? Script.EMPTY : Script.read(Path.of(script));
    out.printf("%d jobs with %d tasks, %.1f jobs/s.%n", plan.jobs().size(), plan.taskCount(), rate);
    try (SystemUnderLoad system = system(a, preset)) {
      Duration timeout = Duration.ofSeconds(a.getInt("timeout_seconds"));
      LoadRun run = new LoadRun(system, new ServiceName(preset.service()), timeout, out);
      LoadRecorder recorder = run.run(plan, IdealLoadSchedule.jobTimes(plan, preset), steps);
      return report(recorder.result(a.getString("name"), settings(a), system), a, out);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCodes.REFUSED;
    }
  }

  private static int report(LoadResult result, Namespace a, PrintStream out)
      throws CassiaException {
    ResultPrinter.print(result, out);
    String folder = a.getString("out");
    if (folder != null) {
      ResultFiles.write(result, Path.of(folder));
      out.println("Written to " + Path.of(folder).resolve(result.name()) + ".json, .csv and .png.");
    }
    boolean sound =
        result.doubleStarts() == 0 && result.partialAnswers() == 0 && result.falseNotRun() == 0;
    return sound ? ExitCodes.OK : ExitCodes.REFUSED;
  }

  private static Preset preset(Namespace a) throws CassiaException {
    Preset preset = Preset.of(a.getString("preset"));
    String tasks = a.getString("tasks");
    String runMillis = a.getString("run_millis");
    if (tasks != null || runMillis != null) {
      preset =
          preset.with(
              Distribution.parse(tasks == null ? "1" : tasks),
              Distribution.parse(runMillis == null ? "uniform:50:1000" : runMillis));
    }
    Integer agents = a.getInt("agents");
    List<Double> speeds = agents == null ? preset.speeds() : Collections.nCopies(agents, 1.0);
    Integer slots = a.getInt("slots");
    return preset.with(slots == null ? preset.slots() : slots, speeds);
  }

  private static SystemUnderLoad system(Namespace a, Preset preset)
      throws CassiaException, InterruptedException {
    @Nullable List<String> addresses = a.getList("address");
    if (addresses != null) {
      List<InetSocketAddress> entries = new ArrayList<>();
      for (String text : addresses) {
        entries.add(address(text));
      }
      return new RemoteSystem(entries);
    }
    List<String> customers = preset.mix().stream().map(JobClass::customer).distinct().toList();
    LocalSystem system =
        LocalSystem.start(
            new LocalSystemSpec(
                a.getInt("entries"),
                preset.service(),
                customers,
                preset.failureDomains(),
                preset.slots(),
                preset.speeds(),
                a.getBoolean("processes") ? SeparateProcesses.ALL : SeparateProcesses.NONE));
    system.awaitMinions();
    return new LocalSystemUnderLoad(system);
  }

  private static InetSocketAddress address(String text) throws CassiaException {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return new InetSocketAddress(text.substring(0, Math.max(colon, 0)), port);
    } catch (IllegalArgumentException e) {
      throw CassiaException.of(Refusals.malformed("address '" + text + "' is not HOST:PORT"));
    }
  }

  private static Map<String, String> settings(Namespace a) {
    Map<String, String> settings = new TreeMap<>();
    a.getAttrs().forEach((key, value) -> settings.put(key, String.valueOf(value)));
    return settings;
  }
}
