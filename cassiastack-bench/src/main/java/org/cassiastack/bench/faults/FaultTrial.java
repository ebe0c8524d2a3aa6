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
 * Runs jobs while processes are killed and paused, and compares each answer with the task starts
 * that the minions counted.
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
  private static final int MAX_TASK_MILLIS = 150;
  private static final int MAX_CONCURRENT_JOBS = 16;
  private static final Duration JOB_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration RETRY_DELAY = Duration.ofMillis(100);
  private static final Duration LATE_START_WAIT = Duration.ofSeconds(3);

  private final LocalProcesses processes;
  private final CallerClient client;
  private final SplittableRandom random;
  private final Map<JobId, JobAnswer> firstAnswers = new ConcurrentHashMap<>();
  private final Map<JobId, JobAnswer> changedAnswers = new ConcurrentHashMap<>();
  private final AtomicInteger refusals = new AtomicInteger();
  private final AtomicInteger falseRefusals = new AtomicInteger();
  private int entryKills;
  private int agentKills;
  private int pauses;

  private FaultTrial(LocalProcesses processes, long seed) {
    this.processes = processes;
    this.client = CallerClient.create(processes.callerAddress());
    this.random = new SplittableRandom(seed);
  }

  /**
   * Creates a trial.
   *
   * @param processes the system under test
   * @param seed seed of the random numbers for run times and faults
   */
  public static FaultTrial create(LocalProcesses processes, long seed) {
    return new FaultTrial(processes, seed);
  }

  /**
   * Runs jobs under faults.
   *
   * @param jobs number of jobs
   * @param faults number of faults; the cycle is pause an agent, kill an agent, pause an agent,
   *     kill the entry
   * @param faultInterval planned time between the starts of two faults; a fault that lasts longer
   *     delays the next fault, which then starts at once
   * @return the report of the trial
   */
  public TrialReport run(int jobs, int faults, Duration faultInterval) {
    long startNanos = System.nanoTime();
    SplittableRandom jobRandom = random.split();
    Mono<Void> faultsInjected =
        Flux.interval(faultInterval, Schedulers.boundedElastic())
            .onBackpressureDrop()
            .take(faults)
            .doOnNext(this::injectFault)
            .then();
    // Each key is issued when its job is sent, because a restarted entry refuses keys that were
    // issued before its restart.
    Mono<List<Job>> submittedJobs =
        Flux.range(0, jobs)
            .map(number -> newJob(number, jobRandom))
            .flatMap(job -> submitTwice(job).thenReturn(job), MAX_CONCURRENT_JOBS)
            .collectList();
    List<Job> allJobs =
        Mono.zip(submittedJobs, faultsInjected.thenReturn(faults))
            .blockOptional()
            .orElseThrow()
            .getT1();
    Mono.delay(LATE_START_WAIT).block();
    return createReport(allJobs, Duration.ofNanos(System.nanoTime() - startNanos));
  }

  /**
   * Submits a job until it is answered. Then submits the job once more, unless the answer says that
   * the job has not run, and compares the second answer with the first.
   */
  private Mono<Void> submitTwice(Job job) {
    return submitUntilAnswered(job)
        .doOnNext(answer -> firstAnswers.put(JobId.of(job), answer))
        .filter(answer -> !answer.code().isNotRun())
        .flatMap(answer -> submitUntilAnswered(job))
        .doOnNext(answer -> compareAnswers(job, answer))
        .onErrorComplete()
        .then();
  }

  private Mono<JobAnswer> submitUntilAnswered(Job job) {
    return client
        .submit(job)
        .doOnNext(answer -> checkRefusal(job, answer))
        .filter(answer -> answer.code() != ResultCode.NO_MINION)
        .switchIfEmpty(Mono.error(() -> new IOException("no minion available yet")))
        .retryWhen(Retry.fixedDelay(Long.MAX_VALUE, RETRY_DELAY))
        .timeout(ANSWER_TIMEOUT);
  }

  /**
   * Checks that no task of a refused job has started. A refusal is checked at once, because its
   * statement that the job has not run only holds until the job is submitted again.
   */
  private void checkRefusal(Job job, JobAnswer answer) {
    if (answer.code().isNotRun()) {
      refusals.incrementAndGet();
      if (anyStarted(job, startsByTask())) {
        falseRefusals.incrementAndGet();
      }
    }
  }

  private void compareAnswers(Job job, JobAnswer second) {
    JobAnswer first = firstAnswers.get(JobId.of(job));
    boolean outcomeUnknown =
        second.code() == ResultCode.COORDINATOR_LOST || second.code() == ResultCode.KEY_EXPIRED;
    if (!second.equals(first) && !outcomeUnknown) {
      changedAnswers.put(JobId.of(job), second);
    }
  }

  private void injectFault(long number) {
    int agent = random.nextInt(processes.minions().size());
    try {
      switch ((int) (number % 4)) {
        case 0 -> pauseAndResumeAgent(agent);
        case 1 -> {
          processes.killAndRestartAgent(agent);
          agentKills++;
        }
        case 2 -> pauseAndResumeAgent(agent);
        default -> {
          processes.killAndRestartEntry();
          entryKills++;
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void pauseAndResumeAgent(int agent) throws IOException {
    processes.pauseAgent(agent);
    pauses++;
    Mono.delay(Duration.ofMillis(random.nextLong(200, 5_000))).block();
    processes.resumeAgent(agent);
  }

  private TrialReport createReport(List<Job> jobs, Duration duration) {
    Map<String, Integer> startsByTask = startsByTask();
    Map<ResultCode, Integer> codes = new EnumMap<>(ResultCode.class);
    int partial = 0;
    int laterFalseRefusals = 0;
    for (Job job : jobs) {
      JobAnswer answer = firstAnswers.get(JobId.of(job));
      if (answer == null) {
        continue;
      }
      codes.merge(answer.code(), 1, Integer::sum);
      partial += answer.isComplete() && !hasAllOutputs(job, answer) ? 1 : 0;
      laterFalseRefusals += answer.code().isNotRun() && anyStarted(job, startsByTask) ? 1 : 0;
    }
    return new TrialReport(
        codes,
        jobs.size() - firstAnswers.size(),
        partial,
        refusals.get(),
        falseRefusals.get() + laterFalseRefusals,
        changedAnswers.size(),
        startsByTask.size(),
        (int) startsByTask.values().stream().filter(n -> n > 1).count(),
        entryKills,
        agentKills,
        pauses,
        duration);
  }

  private Map<String, Integer> startsByTask() {
    Map<String, Integer> startsByTask = new HashMap<>();
    for (StandInMinion minion : processes.minions()) {
      minion.startsByTask().forEach((task, count) -> startsByTask.merge(task, count, Integer::sum));
    }
    return startsByTask;
  }

  private static boolean hasAllOutputs(Job job, JobAnswer answer) {
    List<Payload> expectedOutputs = job.tasks().stream().map(Task::payload).toList();
    return answer.results().stream().map(TaskResult::output).toList().equals(expectedOutputs);
  }

  private static boolean anyStarted(Job job, Map<String, Integer> startsByTask) {
    return job.tasks().stream()
        .anyMatch(
            task -> startsByTask.containsKey(new TaskId(JobId.of(job), task.index()).toString()));
  }

  private static Job newJob(int number, SplittableRandom random) {
    List<Task> tasks = new ArrayList<>();
    for (int i = 0; i < TASKS_PER_JOB; i++) {
      int millis = random.nextInt(MAX_TASK_MILLIS);
      tasks.add(new Task(i, Payload.ofText("run_ms=" + millis + " " + number + "/" + i)));
    }
    JobKey key = JobKey.of(Instant.now(), random.nextLong(), random.nextLong());
    return new Job(key, new Customer("ayaz"), SERVICE, JOB_TIMEOUT, false, tasks);
  }
}
