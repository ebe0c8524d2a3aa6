package org.cassiastack.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cassiastack.consensus.CommandCommitted;
import org.cassiastack.consensus.LeaderChanged;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.consensus.ProposeCommand;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.controller.VirtualScheduler;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.InMemoryLedgerCodec;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.LeaderNotice;
import org.cassiastack.request.LeaderReply;
import org.cassiastack.request.LeaderRequestController;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.RequestAnswered;
import org.cassiastack.request.RequestPosted;
import org.cassiastack.request.StoreConfiguration;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;

/**
 * Simulates callers, one entry, one leader and a number of workers in virtual time, and counts the
 * answers that the callers get under load. The leader handles one event after the other and takes
 * the time of a {@link LeaderCost} for each.
 */
final class LoadSimulation {
  static final ServiceName SERVICE = new ServiceName("ice");
  static final long TASK_MILLI_CPU = 3_000;
  private static final NodeId SELF = new NodeId("10.0.0.1");
  private static final NodeId ENTRY = new NodeId("10.0.0.1/entry");
  private static final Pattern OBJECTIVE_PATTERN = Pattern.compile("objective=(\\S+)");
  private static final int DEFAULT_SLOTS = 6;
  private static final Duration NETWORK_DELAY = Duration.ofMillis(1);
  private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
  private static final Duration TARGET_LATENCY = Duration.ofMillis(60);
  private static final Duration TIMEOUT_MARGIN = Duration.ofMillis(1_500);
  private static final double STRETCH = 1.6;
  private static final double RUN_TIME_SPREAD = 0.3;
  private static final ScheduleSettings SETTINGS =
      ScheduleSettings.of(Duration.ofSeconds(1), Duration.ofMillis(150), Duration.ofMinutes(2));

  private final VirtualScheduler scheduler =
      new VirtualScheduler(Instant.parse("2026-12-04T08:00:00Z"));
  private final LeaderController leader =
      LeaderController.create(SELF, SETTINGS, new InMemoryLedgerCodec(), UUID::randomUUID);
  private final LeaderRequestController requestController = LeaderRequestController.create();
  private final Queue<Event> queuedEvents = new ArrayDeque<>();
  private final LeaderCost leaderCost;
  private final Map<NodeId, SimulatedWorker> workers = new LinkedHashMap<>();
  private final Map<Long, Submission> submissions = new HashMap<>();
  private final Map<QueuedJobId, Duration> runTimes = new HashMap<>();
  private final Random random;
  private long lastCommitIndex;
  private long lastRequestId;
  private final List<HardLoad.FoundSlow> foundSlow = new ArrayList<>();
  private final Map<Long, LoadKind.Counts> countsOfRequests = new HashMap<>();
  private final Map<QueuedJobId, LoadKind> kindsOfJobs = new HashMap<>();
  private final Map<QueuedJobId, String> racksOfJobs = new HashMap<>();
  private int submittedJobs;
  private int jobsOnTime;
  private int unansweredUnstartedJobs;
  private Duration lastObjective = Duration.ZERO;
  private final Set<QueuedJobId> startedJobs = new HashSet<>();
  private final Map<AnswerCode, Integer> answers = new EnumMap<>(AnswerCode.class);

  private boolean leaderBusy;
  private Instant leaderPausedUntil = Instant.MIN;

  /** Workers that the leader has examined while handling the current event. */
  private long candidatesExamined;

  private LoadSimulation(LeaderCost leaderCost, long seed) {
    this.leaderCost = leaderCost;
    this.random = new Random(seed);
  }

  /** Starts a leader without processing cost and workers of speed 1 with six slots each. */
  static LoadSimulation of(int workers, long seed) {
    return of(workers, DEFAULT_SLOTS, LeaderCost.ZERO, seed);
  }

  /** Starts a leader with a processing cost and workers of speed 1 with a number of slots each. */
  static LoadSimulation of(int workers, int slots, LeaderCost leaderCost, long seed) {
    LoadSimulation simulation = new LoadSimulation(leaderCost, seed);
    simulation.on(new LeaderChanged(1, SELF, true));
    simulation.handleAtEntry(new Received(SELF, new LeaderNotice(1, SELF, List.of(SELF))));
    for (int i = 0; i < workers; i++) {
      NodeId node = new NodeId("10.0.1." + i + "/agent");
      simulation.workers.put(node, new SimulatedWorker(simulation, node, slots));
    }
    simulation.tick();
    simulation.on(new Received(ENTRY, new StoreConfiguration(0, configuration())));
    simulation.run(Duration.ofSeconds(1));
    return simulation;
  }

  /**
   * Submits jobs at random times with exponentially distributed intervals.
   *
   * @param mean mean interval between two jobs
   * @param tasks number of tasks of each job
   * @param runTime mean run time of a task at speed 1
   * @param during how long to submit jobs
   */
  void submitEvery(Duration mean, int tasks, Duration runTime, Duration during) {
    Duration interval = Duration.ofNanos((long) (-Math.log(random.nextDouble()) * mean.toNanos()));
    if (interval.compareTo(during) < 0) {
      scheduler.runAfter(
          interval,
          () -> {
            submit(tasks, runTime);
            submitEvery(mean, tasks, runTime, during.minus(interval));
          });
    }
  }

  /** Divides the speed of one worker by a factor, also for its active runs. */
  void slowDown(int worker, double factor) {
    List.copyOf(workers.values()).get(worker).slowDown(factor);
  }

  void run(Duration time) {
    scheduler.runFor(time);
  }

  /** Returns the share of the submitted jobs that were completed within their objective. */
  double onTimeShare() {
    return (double) jobsOnTime / submittedJobs;
  }

  /** Returns the number of jobs that were answered with a code. */
  int answers(AnswerCode code) {
    return answers.getOrDefault(code, 0);
  }

  /** Returns the objective that the leader computed for the last admitted job. */
  Duration lastObjective() {
    return lastObjective;
  }

  /** Returns the number of callers that got no answer from the leader although no task started. */
  int unansweredUnstartedJobs() {
    return unansweredUnstartedJobs;
  }

  /** Resets the counts of jobs and answers. */
  void resetCounts() {
    submittedJobs = 0;
    jobsOnTime = 0;
    unansweredUnstartedJobs = 0;
    answers.clear();
  }

  Instant now() {
    return scheduler.now();
  }

  void runAfter(Duration delay, Runnable action) {
    scheduler.runAfter(delay, action);
  }

  Duration runTimeOf(RunId run) {
    return runTimes.get(run.task().job());
  }

  double random() {
    return random.nextDouble();
  }

  /** Queues an event for the leader behind the events that it has not handled yet. */
  void on(Event event) {
    queuedEvents.add(event);
    if (!leaderBusy) {
      handleNextEvent();
    }
  }

  /** Pauses the leader's thread, as a suspended machine does. */
  void pauseLeader(Duration time) {
    leaderPausedUntil = now().plus(time);
    if (!leaderBusy) {
      handleNextEvent();
    }
  }

  private void handleNextEvent() {
    leaderBusy = now().isBefore(leaderPausedUntil);
    if (leaderBusy) {
      runAfter(Duration.between(now(), leaderPausedUntil), this::handleNextEvent);
      return;
    }
    for (Event e = queuedEvents.poll(); e != null; e = queuedEvents.poll()) {
      candidatesExamined = 0;
      handle(e);
      Duration cost = leaderCost.cost(candidatesExamined);
      if (!cost.isZero()) {
        leaderBusy = true;
        runAfter(cost, this::handleNextEvent);
        return;
      }
    }
  }

  /** Passes an event to the leader and commits its proposals at once. */
  private void handle(Event first) {
    Queue<Event> events = new ArrayDeque<>(List.of(first));
    boolean turnEnded;
    do {
      Event e = events.poll();
      for (Effect f : e == null ? leader.endTurn(now()) : leader.on(e, now())) {
        if (f instanceof Raise r && r.event() instanceof ProposeCommand p) {
          events.add(new CommandCommitted(++lastCommitIndex, p.proposalId(), p.command()));
        } else if (f instanceof Send s && s.message() instanceof RunOrders o) {
          SimulatedWorker worker = workers.get(s.to());
          o.starts().forEach(order -> startedJobs.add(order.run().task().job()));
          runAfter(NETWORK_DELAY, () -> worker.receive(o));
        } else if (f instanceof Send s && s.message() instanceof LeaderReply r) {
          runAfter(NETWORK_DELAY, () -> handleAtEntry(new Received(SELF, r)));
        } else if (f instanceof Decision d && d.event().equals("job_admitted")) {
          Matcher m = OBJECTIVE_PATTERN.matcher(d.inputs());
          lastObjective = m.find() ? Duration.parse(m.group(1)) : Duration.ZERO;
        } else if (f instanceof Decision d
            && d.event().equals("worker_speed")
            && d.outcome().equals("slow")) {
          foundSlow.add(new HardLoad.FoundSlow(d.subject(), now()));
        } else if (f instanceof PlacementStats p) {
          candidatesExamined += p.candidatesExamined();
        }
      }
      turnEnded = e == null;
    } while (!turnEnded || !events.isEmpty());
  }

  private void handleAtEntry(Event event) {
    for (Effect f : requestController.on(event, now())) {
      if (f instanceof Send s) {
        runAfter(NETWORK_DELAY, () -> on(new Received(ENTRY, s.message())));
      } else if (f instanceof RequestAnswered a) {
        recordAnswer(a);
      }
    }
  }

  private void submit(int tasks, Duration runTime) {
    lastRequestId++;
    submittedJobs++;
    QueuedJobId id = new QueuedJobId(lastRequestId);
    QueueAddress address = new QueueAddress("h", "/q/" + id);
    List<StepSpec> steps =
        new ArrayList<>(List.of(StepSpec.plain(tasks, TASK_MILLI_CPU, 64, runTime)));
    Duration objective =
        Duration.ofNanos((long) (runTime.toNanos() * STRETCH)).plus(TARGET_LATENCY);
    submissions.put(lastRequestId, new Submission(id, now().plus(objective)));
    runTimes.put(id, runTime);
    QueuedJob job = new QueuedJob(id, "spec", steps, false);
    Duration timeout = objective.plus(TIMEOUT_MARGIN);
    SubmitJob submit = SubmitJob.of(lastRequestId, address, job, timeout);
    handleAtEntry(new RequestPosted(submit, now().plus(timeout)));
  }

  private void recordAnswer(RequestAnswered a) {
    Submission s = submissions.remove(a.requestId());
    if (s != null) {
      answers.merge(a.answer().code(), 1, Integer::sum);
      LoadKind.Counts counts = countsOfRequests.remove(a.requestId());
      if (counts != null) {
        counts.add(a.answer().code(), s.objectiveAt, now());
      }
      boolean unansweredUnstarted =
          a.answer().code() == AnswerCode.UNANSWERED && !startedJobs.contains(s.job);
      unansweredUnstartedJobs += unansweredUnstarted ? 1 : 0;
      jobsOnTime +=
          a.answer().code() == AnswerCode.ACCEPTED && !now().isAfter(s.objectiveAt) ? 1 : 0;
    }
  }

  private void tick() {
    on(new LeaseExtended(1, now().plusSeconds(1)));
    on(new Tick());
    handleAtEntry(new Tick());
    scheduler.runAfter(TICK_INTERVAL, this::tick);
  }

  private static QueueConfiguration configuration() {
    org.cassiastack.queue.Queue q =
        new org.cassiastack.queue.Queue("q", "h", "/q/", SERVICE, 0, 2, STRETCH, TARGET_LATENCY);
    return new QueueConfiguration(1, List.of(q), Payload.ofText("document"));
  }

  /** Replaces the queues by one for each kind of load. */
  void configure(List<LoadKind> kinds) {
    List<org.cassiastack.queue.Queue> queues = kinds.stream().map(k -> k.queue(SERVICE)).toList();
    QueueConfiguration c = new QueueConfiguration(2, queues, Payload.ofText("document"));
    on(new Received(ENTRY, new StoreConfiguration(0, c)));
  }

  SimulatedWorker addWorker(int slots, double speed, String rack) {
    NodeId node = new NodeId("10.0.1." + workers.size() + "/agent");
    SimulatedWorker w = new SimulatedWorker(this, node, slots, List.of(rack));
    w.slowDown(1 / speed);
    workers.put(node, w);
    return w;
  }

  /** Submits jobs of a kind at random times with exponentially distributed intervals. */
  void submitKindEvery(Duration mean, LoadKind kind, LoadKind.Counts counts, Duration during) {
    Duration interval = Duration.ofNanos((long) (-Math.log(random.nextDouble()) * mean.toNanos()));
    if (interval.compareTo(during) < 0) {
      scheduler.runAfter(
          interval,
          () -> {
            submitKind(kind, counts);
            submitKindEvery(mean, kind, counts, during.minus(interval));
          });
    }
  }

  private void submitKind(LoadKind kind, LoadKind.Counts counts) {
    lastRequestId++;
    counts.submitted++;
    QueuedJobId id = new QueuedJobId(lastRequestId);
    QueuedJob job = kind.job(id, TASK_MILLI_CPU, random);
    Duration objective = kind.objective();
    countsOfRequests.put(lastRequestId, counts);
    kindsOfJobs.put(id, kind);
    racksOfJobs.put(id, job.steps().get(0).dataRack());
    submissions.put(lastRequestId, new Submission(id, now().plus(objective)));
    Duration timeout = objective.plus(TIMEOUT_MARGIN);
    QueueAddress address = new QueueAddress("h", kind.pathPrefix() + id);
    SubmitJob submit = SubmitJob.of(lastRequestId, address, job, timeout);
    handleAtEntry(new RequestPosted(submit, now().plus(timeout)));
  }

  /** Draws the run time of a run at speed 1 on a worker with the given labels, in nanoseconds. */
  double drawRunTime(RunId run, List<String> labels) {
    QueuedJobId job = run.task().job();
    LoadKind kind = kindsOfJobs.get(job);
    if (kind == null) {
      return runTimeOf(run).toNanos() * (1 + RUN_TIME_SPREAD * (2 * random() - 1));
    }
    String rack = racksOfJobs.get(job);
    return kind.drawRunTime(random, !rack.isEmpty() && !labels.contains(rack));
  }

  /** Returns the workers that the leader has found slow, in order. */
  List<HardLoad.FoundSlow> foundSlow() {
    return List.copyOf(foundSlow);
  }

  private record Submission(QueuedJobId job, Instant objectiveAt) {}

  /**
   * Processing time of the leader's thread for an event.
   *
   * @param perEvent time for each event
   * @param perCandidate time for each worker that is examined to place tasks
   */
  record LeaderCost(Duration perEvent, Duration perCandidate) {
    static final LeaderCost ZERO = new LeaderCost(Duration.ZERO, Duration.ZERO);

    Duration cost(long candidatesExamined) {
      return perEvent.plus(perCandidate.multipliedBy(candidatesExamined));
    }
  }
}
