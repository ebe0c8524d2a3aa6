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

/**
 * The command {@code load}: sends a mix of jobs to a system and compares the measured job times
 * with those of an ideal schedule.
 */
public final class LoadCommand implements Command {
  private static final double DEFAULT_UTILIZATION = 0.6;

  @Override
  public String name() {
    return "load";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("send load to a system and compare job times with an ideal schedule");
    parser
        .addArgument("--preset")
        .setDefault("ayaz")
        .help("mix of jobs and minions: ayaz or inyenyeri");
    parser.addArgument("--name").setDefault("load").help("name of the run and of its result files");
    parser.addArgument("--seconds").type(Integer.class).setDefault(10).help("period of arrivals");
    parser
        .addArgument("--seed")
        .type(Long.class)
        .setDefault(1L)
        .help("equal seeds give equal jobs");
    parser
        .addArgument("--utilization")
        .type(Double.class)
        .setDefault(DEFAULT_UTILIZATION)
        .help("share of the slots that the jobs keep busy");
    parser
        .addArgument("--jobs-per-second")
        .type(Double.class)
        .help("arrival rate; replaces --utilization");
    parser
        .addArgument("--burst")
        .type(Integer.class)
        .setDefault(1)
        .help("number of jobs that arrive at the same time");
    parser.addArgument("--tasks").help("tasks of a job, such as uniform:1:200; replaces the mix");
    parser
        .addArgument("--run-millis")
        .help("run time of a task in ms, such as 50; replaces the mix");
    parser.addArgument("--entries").type(Integer.class).setDefault(3).help("number of entries");
    parser.addArgument("--agents").type(Integer.class).help("number of agents, all of speed 1");
    parser.addArgument("--slots").type(Integer.class).help("number of slots of each minion");
    parser
        .addArgument("--processes")
        .action(Arguments.storeTrue())
        .help("run each daemon in a separate process");
    parser.addArgument("--address").nargs("+").help("caller addresses of a running system");
    parser.addArgument("--timeout-seconds").type(Integer.class).setDefault(60);
    parser.addArgument("--script").help("file of timed steps, such as '10 kill agent-3'");
    parser.addArgument("--out").help("folder for NAME.json, NAME.csv and NAME.png");
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    Preset preset = preset(arguments);
    Double requestedRate = arguments.getDouble("jobs_per_second");
    double rate =
        requestedRate == null
            ? preset.jobsPerSecond(arguments.getDouble("utilization"))
            : requestedRate;
    int burst = arguments.getInt("burst");
    LoadPlan plan =
        LoadPlan.draw(
            preset,
            burst > 1 ? Arrivals.bursts(burst) : Arrivals.poisson(),
            rate,
            Duration.ofSeconds(arguments.getInt("seconds")),
            arguments.getLong("seed"));
    if (plan.jobs().isEmpty()) {
      throw CassiaException.of(
          Refusals.malformed("the plan holds no job; --seconds or the arrival rate is too low"));
    }
    String scriptFile = arguments.getString("script");
    Script script = scriptFile == null ? Script.EMPTY : Script.read(Path.of(scriptFile));
    out.printf("%d jobs with %d tasks, %.1f jobs/s.%n", plan.jobs().size(), plan.taskCount(), rate);
    try (SystemUnderLoad system = startOrConnect(arguments, preset)) {
      Duration timeout = Duration.ofSeconds(arguments.getInt("timeout_seconds"));
      LoadRun run = new LoadRun(system, new ServiceName(preset.service()), timeout, out);
      LoadRecorder recorder = run.run(plan, IdealLoadSchedule.jobTimes(plan, preset), script);
      return report(
          recorder.result(arguments.getString("name"), settings(arguments), system),
          arguments,
          out);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCodes.REFUSED;
    }
  }

  private static int report(LoadResult result, Namespace arguments, PrintStream out)
      throws CassiaException {
    ResultPrinter.print(result, out);
    String folder = arguments.getString("out");
    if (folder != null) {
      ResultFiles.write(result, Path.of(folder));
      out.println(
          "Result written to " + Path.of(folder).resolve(result.name()) + ".json, .csv and .png.");
    }
    boolean consistent =
        result.doubleStarts() == 0 && result.partialAnswers() == 0 && result.falseNotRun() == 0;
    return consistent ? ExitCodes.OK : ExitCodes.REFUSED;
  }

  private static Preset preset(Namespace arguments) throws CassiaException {
    Preset preset = Preset.of(arguments.getString("preset"));
    String tasks = arguments.getString("tasks");
    String runMillis = arguments.getString("run_millis");
    if (tasks != null || runMillis != null) {
      preset =
          preset.with(
              Distribution.parse(tasks == null ? "1" : tasks),
              Distribution.parse(runMillis == null ? "uniform:50:1000" : runMillis));
    }
    Integer agentCount = arguments.getInt("agents");
    List<Double> speeds =
        agentCount == null ? preset.speeds() : Collections.nCopies(agentCount, 1.0);
    Integer slots = arguments.getInt("slots");
    return preset.with(slots == null ? preset.slots() : slots, speeds);
  }

  private static SystemUnderLoad startOrConnect(Namespace arguments, Preset preset)
      throws CassiaException, InterruptedException {
    @Nullable List<String> addresses = arguments.getList("address");
    if (addresses != null) {
      List<InetSocketAddress> entries = new ArrayList<>();
      for (String address : addresses) {
        entries.add(parseAddress(address));
      }
      return new RemoteSystem(entries);
    }
    List<String> customers = preset.mix().stream().map(JobClass::customer).distinct().toList();
    LocalSystem system =
        LocalSystem.start(
            new LocalSystemSpec(
                arguments.getInt("entries"),
                preset.service(),
                customers,
                preset.failureDomains(),
                preset.slots(),
                preset.speeds(),
                arguments.getBoolean("processes")
                    ? SeparateProcesses.ALL
                    : SeparateProcesses.NONE));
    system.awaitMinions();
    return new LocalSystemUnderLoad(system);
  }

  private static InetSocketAddress parseAddress(String text) throws CassiaException {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return new InetSocketAddress(text.substring(0, Math.max(colon, 0)), port);
    } catch (IllegalArgumentException e) {
      throw CassiaException.of(Refusals.malformed("address '" + text + "' is not HOST:PORT"));
    }
  }

  private static Map<String, String> settings(Namespace arguments) {
    Map<String, String> settings = new TreeMap<>();
    arguments.getAttrs().forEach((key, value) -> settings.put(key, String.valueOf(value)));
    return settings;
  }
}
