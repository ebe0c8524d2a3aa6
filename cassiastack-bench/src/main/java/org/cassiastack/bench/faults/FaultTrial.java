package org.cassiastack.bench.faults;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.cassiastack.bench.minion.StandInMinion;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobId;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Task;
import org.cassiastack.model.TaskId;
import org.cassiastack.model.TaskResult;
import org.cassiastack.transport.http.CallerClient;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.util.retry.Retry;

/**
 * Runs jobs while processes are killed and frozen, and holds each answer against the starts that
 * the minions counted.
 *
 * <pre>{@code
 * TrialReport report = FaultTrial.create(processes, 7).run(1_000, 40, Duration.ofSeconds(3));
 * }</pre>
 *
 * @since 0.1
 */
public final class FaultTrial {
  private static final ServiceName SERVICE = new ServiceName("ice");
  private static final int TASKS_PER_JOB = 8;
  private static final int LONGEST_TASK_MILLIS = 150;
  private static final int JOBS_AT_A_TIME = 16;
  private static final Duration JOB_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration PATIENCE = Duration.ofSeconds(60);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(100);
  private static final Duration LAST_STARTS = Duration.ofSeconds(3);

  private final LocalProcesses processes;
  private final CallerClient client;
  private final SplittableRandom random;
  private final Map<JobId, JobAnswer> firstAnswers = new ConcurrentHashMap<>();
  private final Map<JobId, JobAnswer> changed = new ConcurrentHashMap<>();
  private final AtomicInteger refusals = new AtomicInteger();
  private final AtomicInteger falseRefusals = new AtomicInteger();
  private int entryKills;
  private int agentKills;
  private int freezes;

  private FaultTrial(LocalProcesses processes, long seed) {
    this.processes = processes;
    this.client = CallerClient.create(processes.callerAddress());
    this.random = new SplittableRandom(seed);
  }

  /**
   * Makes a trial.
   *
   * @param processes the system under trial
   * @param seed chooses run times and faults
   */
  public static FaultTrial create(LocalProcesses processes, long seed) {
    return new FaultTrial(processes, seed);
  }

  /**
   * Runs jobs under faults.
   *
   * @param jobs number of jobs
   * @param faults number of faults: freezes of agents, kills of agents and of the entry in turn
   * @param faultInterval least time between two faults
   * @return what was seen
   */
  public TrialReport run(int jobs, int faults, Duration faultInterval) {
    long begin = System.nanoTime();
    SplittableRandom work = random.split();
    Mono<Void> disturbed =
        Flux.interval(faultInterval, Schedulers.boundedElastic())
            .onBackpressureDrop()
            .take(faults)
            .doOnNext(this::fault)
            .then();
    // Each key is issued as its job is sent: a new life of the entry refuses the keys before it.
    Mono<List<Job>> loaded =
        Flux.range(0, jobs)
            .map(n -> job(n, work))
            .flatMap(j -> answered(j).thenReturn(j), JOBS_AT_A_TIME)
            .collectList();
    List<Job> all =
        Mono.zip(loaded, disturbed.thenReturn(faults)).blockOptional().orElseThrow().getT1();
    Mono.delay(LAST_STARTS).block();
    return report(all, Duration.ofNanos(System.nanoTime() - begin));
  }

  /** Submits a job until it is answered, then once more: the answer must stay the same. */
  private Mono<Void> answered(Job job) {
    return submitted(job)
        .doOnNext(a -> firstAnswers.put(JobId.of(job), a))
        .filter(a -> !a.code().isNotRun())
        .flatMap(a -> submitted(job))
        .doOnNext(a -> compare(job, a))
        .onErrorComplete()
        .then();
  }

  private Mono<JobAnswer> submitted(Job job) {
    return client
        .submit(job)
        .doOnNext(a -> checkRefusal(job, a))
        .filter(a -> a.code() != ResultCode.NO_MINION)
        .switchIfEmpty(Mono.error(() -> new IOException("no minion yet")))
        .retryWhen(Retry.fixedDelay(Long.MAX_VALUE, RETRY_PAUSE))
        .timeout(PATIENCE);
  }

  /** A refusal holds until the job is submitted again, so it is checked as it comes. */
  private void checkRefusal(Job job, JobAnswer a) {
    if (a.code().isNotRun()) {
      refusals.incrementAndGet();
      if (anyStarted(job, starts())) {
        falseRefusals.incrementAndGet();
      }
    }
  }

  private void compare(Job job, JobAnswer second) {
    JobAnswer first = firstAnswers.get(JobId.of(job));
    boolean forgotten =
        second.code() == ResultCode.COORDINATOR_LOST || second.code() == ResultCode.KEY_EXPIRED;
    if (!second.equals(first) && !forgotten) {
      changed.put(JobId.of(job), second);
    }
  }

  private void fault(long number) {
    int agent = random.nextInt(processes.minions().size());
    try {
      switch ((int) (number % 4)) {
        case 0 -> freeze(agent);
        case 1 -> {
          processes.killAndRestartAgent(agent);
          agentKills++;
        }
        case 2 -> freeze(agent);
        default -> {
          processes.killAndRestartEntry();
          entryKills++;
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void freeze(int agent) throws IOException {
    processes.pauseAgent(agent);
    freezes++;
    Mono.delay(Duration.ofMillis(random.nextLong(200, 5_000))).block();
    processes.resumeAgent(agent);
  }

  private TrialReport report(List<Job> jobs, Duration time) {
    Map<String, Integer> starts = starts();
    Map<ResultCode, Integer> codes = new EnumMap<>(ResultCode.class);
    int partial = 0;
    int laterFalse = 0;
    for (Job job : jobs) {
      JobAnswer a = firstAnswers.get(JobId.of(job));
      if (a == null) {
        continue;
      }
      codes.merge(a.code(), 1, Integer::sum);
      partial += a.isComplete() && !isWhole(job, a) ? 1 : 0;
      laterFalse += a.code().isNotRun() && anyStarted(job, starts) ? 1 : 0;
    }
    return new TrialReport(
        codes,
        jobs.size() - firstAnswers.size(),
        partial,
        refusals.get(),
        falseRefusals.get() + laterFalse,
        changed.size(),
        starts.size(),
        (int) starts.values().stream().filter(n -> n > 1).count(),
        entryKills,
        agentKills,
        freezes,
        time);
  }

  private Map<String, Integer> starts() {
    Map<String, Integer> starts = new HashMap<>();
    for (StandInMinion m : processes.minions()) {
      m.startsByTask().forEach((task, count) -> starts.merge(task, count, Integer::sum));
    }
    return starts;
  }

  private static boolean isWhole(Job job, JobAnswer a) {
    List<Payload> wanted = job.tasks().stream().map(Task::payload).toList();
    return a.results().stream().map(TaskResult::output).toList().equals(wanted);
  }

  private static boolean anyStarted(Job job, Map<String, Integer> starts) {
    return job.tasks().stream()
        .anyMatch(t -> starts.containsKey(new TaskId(JobId.of(job), t.index()).toString()));
  }

  private static Job job(int number, SplittableRandom random) {
    List<Task> tasks = new ArrayList<>();
    for (int i = 0; i < TASKS_PER_JOB; i++) {
      int millis = random.nextInt(LONGEST_TASK_MILLIS);
      tasks.add(new Task(i, Payload.ofText("run_ms=" + millis + " " + number + "/" + i)));
    }
    JobKey key = JobKey.of(Instant.now(), random.nextLong(), random.nextLong());
    return new Job(key, new Customer("ayaz"), SERVICE, JOB_TIMEOUT, false, tasks);
  }
}
