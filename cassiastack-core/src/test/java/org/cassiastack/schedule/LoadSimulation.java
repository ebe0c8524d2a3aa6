package org.cassiastack.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
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
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.InMemoryLedgerCodec;
import org.cassiastack.queue.QueueConfiguration;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.Resources;
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
 * Simulates callers, entries, one leader and a number of workers in virtual time, and counts the
 * answers that the callers get under load. The leader handles one event after the other and takes
 * the time of a {@link LeaderCost} for each.
 */
final class LoadSimulation {
  static final ServiceName SERVICE = new ServiceName("ice");
  static final long TASK_MILLI_CPU = 3_000;
  private static final NodeId SELF = new NodeId("10.0.0.1");
  static final NodeId ENTRY = new NodeId("10.0.0.1/entry");
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
  private final LeaderController leader;
  private final Map<NodeId, LeaderRequestController> entries = new LinkedHashMap<>();
  private final Queue<Event> queuedEvents = new ArrayDeque<>();
  private final LeaderCost leaderCost;
  private final Map<NodeId, SimulatedWorker> workers = new LinkedHashMap<>();
  private final Map<Long, Submission> submissions = new HashMap<>();
  private final Map<QueuedJobId, TaskWork> works = new HashMap<>();
  private final Random random;
  private long lastCommitIndex;
  private long lastRequestId;
  private final AnswerCounts counts = new AnswerCounts();
  private Duration lastObjective = Duration.ZERO;
  private final Set<QueuedJobId> startedJobs = new HashSet<>();

  private Consumer<Decision> decisions = d -> {};

  private boolean leaderBusy;
  private Instant leaderPausedUntil = Instant.MIN;

  /** Workers that the leader has examined while handling the current event. */
  private long candidatesExamined;

  private LoadSimulation(
      ScheduleSettings settings, List<NodeId> entries, LeaderCost leaderCost, long seed) {
    this.leader =
        LeaderController.create(SELF, settings, new InMemoryLedgerCodec(), UUID::randomUUID);
    entries.forEach(e -> this.entries.put(e, LeaderRequestController.create()));
    this.leaderCost = leaderCost;
    this.random = new Random(seed);
  }

  /** Starts a leader without processing cost and workers of speed 1 with six slots each. */
  static LoadSimulation of(int workers, long seed) {
    return of(workers, DEFAULT_SLOTS, LeaderCost.ZERO, seed);
  }

  /** Starts a leader with a processing cost and workers of speed 1 with a number of slots each. */
  static LoadSimulation of(int workers, int slots, LeaderCost leaderCost, long seed) {
    LoadSimulation simulation = new LoadSimulation(SETTINGS, List.of(ENTRY), leaderCost, seed);
    Resources capacity = new Resources(slots * TASK_MILLI_CPU, 8_000, 0);
    FailureDomain domain = new FailureDomain("a");
    simulation.start(
        Collections.nCopies(workers, new SimulatedWorker.Kind(domain, capacity, List.of(), 1)),
        configuration());
    return simulation;
  }

  /**
   * Starts a leader without processing cost.
   *
   * @param settings settings of the leader
   * @param entries nodes of the entries
   * @param workers the workers
   * @param configuration the queues
   */
  static LoadSimulation of(
      ScheduleSettings settings,
      List<NodeId> entries,
      List<SimulatedWorker.Kind> workers,
      QueueConfiguration configuration,
      long seed) {
    LoadSimulation simulation = new LoadSimulation(settings, entries, LeaderCost.ZERO, seed);
    simulation.start(workers, configuration);
    return simulation;
  }

  private void start(List<SimulatedWorker.Kind> kinds, QueueConfiguration configuration) {
    on(new LeaderChanged(1, SELF, true));
    for (NodeId entry : entries.keySet()) {
      handleAtEntry(entry, new Received(SELF, new LeaderNotice(1, SELF, List.of(SELF))));
    }
    for (SimulatedWorker.Kind kind : kinds) {
      addWorker(kind);
    }
    tick();
    NodeId first = entries.keySet().iterator().next();
    on(new Received(first, new StoreConfiguration(0, configuration)));
    run(Duration.ofSeconds(1));
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
            submitJob(tasks, runTime);
            submitEvery(mean, tasks, runTime, during.minus(interval));
          });
    }
  }

  /** Divides the speed of one worker by a factor, also for its active runs. */
  void slowDown(int worker, double factor) {
    List.copyOf(workers.values()).get(worker).slowDown(factor);
  }

  /** Cuts one worker off from the leader for a time. Its runs end with its lease. */
  void cutOff(int worker, Duration time) {
    List.copyOf(workers.values()).get(worker).cutOff(time);
  }

  void run(Duration time) {
    scheduler.runFor(time);
  }

  /** Returns the counts of the jobs that {@link #submitEvery} has submitted. */
  AnswerCounts counts() {
    return counts;
  }

  /** Returns the objective that the leader computed for the last admitted job. */
  Duration lastObjective() {
    return lastObjective;
  }

  Instant now() {
    return scheduler.now();
  }

  void runAfter(Duration delay, Runnable action) {
    scheduler.runAfter(delay, action);
  }

  /** Returns the work of a run: its run time at speed 1 on a worker with the given labels. */
  Duration workOf(RunId run, List<String> labels) {
    return works.get(run.task().job()).of(run.task().index(), labels);
  }

  double random() {
    return random.nextDouble();
  }

  Random randomSource() {
    return random;
  }

  /** Returns whether a run was ordered for a job. */
  boolean hasStarted(QueuedJobId job) {
    return startedJobs.contains(job);
  }

  /** Returns the number of idle slots of the given size on the workers that are not cut off. */
  int idleSlots(long milliCpu) {
    return workers.values().stream().mapToInt(w -> w.idleSlots(milliCpu)).sum();
  }

  /** Sets the receiver of the leader's decisions. */
  void onDecision(Consumer<Decision> receiver) {
    decisions = receiver;
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
          runAfter(NETWORK_DELAY, () -> handleAtEntry(s.to(), new Received(SELF, r)));
        } else if (f instanceof Decision d) {
          handleDecision(d);
        } else if (f instanceof PlacementStats p) {
          candidatesExamined += p.candidatesExamined();
        }
      }
      turnEnded = e == null;
    } while (!turnEnded || !events.isEmpty());
  }

  private void handleDecision(Decision d) {
    if (d.event().equals("job_admitted")) {
      Matcher m = OBJECTIVE_PATTERN.matcher(d.inputs());
      lastObjective = m.find() ? Duration.parse(m.group(1)) : Duration.ZERO;
    }
    decisions.accept(d);
  }

  private void handleAtEntry(NodeId entry, Event event) {
    for (Effect f : entries.get(entry).on(event, now())) {
      if (f instanceof Send s) {
        runAfter(NETWORK_DELAY, () -> on(new Received(entry, s.message())));
      } else if (f instanceof RequestAnswered a) {
        recordAnswer(a);
      }
    }
  }

  private void submitJob(int tasks, Duration runTime) {
    counts.onSubmitted();
    StepSpec step = StepSpec.plain(tasks, TASK_MILLI_CPU, 64, runTime);
    Duration objective =
        Duration.ofNanos((long) (runTime.toNanos() * STRETCH)).plus(TARGET_LATENCY);
    Instant dueAt = now().plus(objective);
    TaskWork work =
        (task, labels) ->
            Duration.ofNanos(
                (long) (runTime.toNanos() * (1 + RUN_TIME_SPREAD * (2 * random() - 1))));
    submit(
        ENTRY,
        "/q/",
        step,
        objective,
        work,
        (id, code) -> counts.add(code, hasStarted(id), !now().isAfter(dueAt)));
  }

  /**
   * Submits a job of one step.
   *
   * @param entry entry that takes the request
   * @param path path of the queue
   * @param objective objective of the caller, who waits 1.5 s longer
   * @param work work of each task
   * @param answered receives the answer
   */
  void submit(
      NodeId entry,
      String path,
      StepSpec step,
      Duration objective,
      TaskWork work,
      BiConsumer<QueuedJobId, AnswerCode> answered) {
    lastRequestId++;
    QueuedJobId id = new QueuedJobId(lastRequestId);
    submissions.put(lastRequestId, new Submission(id, answered));
    works.put(id, work);
    QueuedJob job = new QueuedJob(id, "spec", List.of(step), false);
    Duration timeout = objective.plus(TIMEOUT_MARGIN);
    SubmitJob submit = SubmitJob.of(lastRequestId, new QueueAddress("h", path + id), job, timeout);
    handleAtEntry(entry, new RequestPosted(submit, now().plus(timeout)));
  }

  /** Adds a worker. */
  SimulatedWorker addWorker(SimulatedWorker.Kind kind) {
    NodeId node = new NodeId("10.0.1." + workers.size() + "/agent");
    SimulatedWorker worker = new SimulatedWorker(this, node, kind);
    workers.put(node, worker);
    return worker;
  }

  private void recordAnswer(RequestAnswered a) {
    Submission s = submissions.remove(a.requestId());
    if (s != null) {
      s.answered.accept(s.job, a.answer().code());
    }
  }

  private void tick() {
    on(new LeaseExtended(1, now().plusSeconds(1)));
    on(new Tick());
    entries.keySet().forEach(e -> handleAtEntry(e, new Tick()));
    scheduler.runAfter(TICK_INTERVAL, this::tick);
  }

  private static QueueConfiguration configuration() {
    org.cassiastack.queue.Queue q =
        new org.cassiastack.queue.Queue("q", "h", "/q/", SERVICE, 0, 2, STRETCH, TARGET_LATENCY);
    return new QueueConfiguration(1, List.of(q), Payload.ofText("document"));
  }

  private record Submission(QueuedJobId job, BiConsumer<QueuedJobId, AnswerCode> answered) {}
}
