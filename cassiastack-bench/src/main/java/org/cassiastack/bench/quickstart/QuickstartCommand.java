package org.cassiastack.bench.quickstart;

import java.io.PrintStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.bench.local.LocalSystem;
import org.cassiastack.bench.local.LocalSystemSpec;
import org.cassiastack.daemon.command.Command;
import org.cassiastack.daemon.command.ExitCodes;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Task;
import org.cassiastack.transport.http.CallerClient;
import org.jspecify.annotations.Nullable;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;

/**
 * The command {@code quickstart}: starts a complete system in this process, runs one job on it and
 * prints the code of the answer and the response time.
 */
public final class QuickstartCommand implements Command {
  private static final int AGENTS = 2;
  private static final int SLOTS = 8;
  private static final int TASKS = 200;
  private static final int MIN_RUN_MILLIS = 50;
  private static final int MAX_RUN_MILLIS = 1_000;
  private static final long SEED = 20_261_204;
  private static final Customer CUSTOMER = new Customer("ayaz");
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final Duration PROGRESS_INTERVAL = Duration.ofSeconds(1);

  @Override
  public String name() {
    return "quickstart";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("start a system in this process and run one job on it");
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    try (LocalSystem system = LocalSystem.start(LocalSystemSpec.small(AGENTS, SLOTS))) {
      system.awaitMinions();
      out.printf(
          "An entry and %d agents are up, with %d minions of %d slots.%n", AGENTS, AGENTS, SLOTS);
      return runJob(system, out);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return ExitCodes.REFUSED;
    }
  }

  private static int runJob(LocalSystem system, PrintStream out) {
    List<Duration> runTimes = drawRunTimes();
    Job job = newJob(system.service(), runTimes);
    CallerClient client = CallerClient.create(system.callerAddresses().get(0));
    out.printf("Job %s: %d tasks of 50 ms to 1 s.%n", job.key(), TASKS);
    Disposable progress =
        Flux.interval(PROGRESS_INTERVAL)
            .concatMap(i -> client.state(CUSTOMER, job.key()))
            .subscribe(state -> out.println("  " + state));
    long startNanos = System.nanoTime();
    JobAnswer answer = client.submit(job).block();
    Duration responseTime = Duration.ofNanos(System.nanoTime() - startNanos);
    progress.dispose();
    return report(answer, runTimes, responseTime, out);
  }

  private static int report(
      @Nullable JobAnswer answer, List<Duration> runTimes, Duration responseTime, PrintStream out) {
    if (answer == null || !answer.isComplete()) {
      out.println("The job did not complete: " + answer);
      return ExitCodes.REFUSED;
    }
    Duration ideal = IdealSchedule.length(runTimes, AGENTS * SLOTS);
    out.printf(
        "Answer %d %s: %d results in task order.%n",
        answer.code().number(), answer.code(), answer.results().size());
    out.printf(
        "Response time %d ms; an ideal schedule takes %d ms; ratio %.3f.%n",
        responseTime.toMillis(),
        ideal.toMillis(),
        (double) responseTime.toNanos() / ideal.toNanos());
    return ExitCodes.OK;
  }

  private static List<Duration> drawRunTimes() {
    SplittableRandom random = new SplittableRandom(SEED);
    List<Duration> runTimes = new ArrayList<>();
    for (int i = 0; i < TASKS; i++) {
      runTimes.add(Duration.ofMillis(random.nextInt(MIN_RUN_MILLIS, MAX_RUN_MILLIS + 1)));
    }
    return runTimes;
  }

  private static Job newJob(ServiceName service, List<Duration> runTimes) {
    List<Task> tasks = new ArrayList<>();
    for (Duration runTime : runTimes) {
      tasks.add(new Task(tasks.size(), Payload.ofText("run_ms=" + runTime.toMillis())));
    }
    JobKey key = JobKey.of(Instant.now(), System.nanoTime(), System.nanoTime());
    return new Job(key, CUSTOMER, service, TIMEOUT, true, tasks);
  }
}
