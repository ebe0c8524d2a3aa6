package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.cassiastack.controller.Effect;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.Queue;
import org.cassiastack.queue.Resources;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.StartOrder;
import org.cassiastack.schedule.PlacementStats;
import org.jspecify.annotations.Nullable;

/** Places waiting tasks of ready steps on workers with free capacity. */
final class Dispatcher {
  /** Maximum number of concurrent runs on a minion that is probed after an ejection. */
  private static final int MAX_PROBE_RUNS = 1;

  /** Value of {@link #lastPlacedChanges} that makes {@link #place} run a round in any case. */
  private static final long FORCE_ROUND = -1;

  /** Orders that the agent has not processed after this time are assumed to be lost. */
  private static final Duration LOST_ORDERS_TIMEOUT = Duration.ofMillis(300);

  /**
   * Minimum time between two requests for the lists of one agent: after an election jobs arrive in
   * many turns, and a system may have hundreds of agents.
   */
  private static final Duration LISTS_REQUEST_INTERVAL = Duration.ofMillis(50);

  private final LiveJobs liveJobs;
  private final Fleet fleet;
  private final JobLedger ledger;
  private final Consumer<Decision> decisions;
  private final Placer placer;
  private final CallerLeases callerLeases;
  private long candidatesExamined;

  /**
   * Sum of the step additions and the capacity increases at the last round, or {@link
   * #FORCE_ROUND}.
   */
  private long lastPlacedChanges = FORCE_ROUND;

  Dispatcher(
      LiveJobs liveJobs,
      Fleet fleet,
      JobLedger ledger,
      Consumer<Decision> decisions,
      Placer placer,
      CallerLeases callerLeases) {
    this.placer = placer;
    this.callerLeases = callerLeases;
    this.decisions = decisions;
    this.liveJobs = liveJobs;
    this.fleet = fleet;
    this.ledger = ledger;
  }

  /** Returns the placement statistics since the last call, and resets them. */
  PlacementStats takeStats() {
    PlacementStats stats = new PlacementStats(candidatesExamined);
    candidatesExamined = 0;
    return stats;
  }

  /**
   * Runs a placement round: orders starts for as many waiting tasks as the workers have free
   * capacity for. Does nothing when no step was added and no worker gained free capacity since the
   * last round. A worker that becomes usable by the passing of time alone, for example at the end
   * of an ejection, is not noticed before {@link #forceNextRound} has been called.
   *
   * @param firstRun lowest number of new runs
   */
  void place(long firstRun, Instant now) {
    long changes = liveJobs.ready.additions() + fleet.capacityIncreases();
    if (liveJobs.ready.isEmpty() || changes == lastPlacedChanges) {
      return;
    }
    lastPlacedChanges = changes;
    RoundWorkers workers = new RoundWorkers(liveJobs.ready.minNeed(), now);
    ReadySteps steps = liveJobs.ready.inOrder(s -> workers.of(s).mayFit(s.spec.need()));
    for (LiveStep s = steps.next(); s != null; s = steps.next()) {
      if (!callerLeases.mayStart(s.job, now)) {
        continue;
      }
      if (!placeStep(s, workers.of(s), firstRun, now)) {
        steps.skipDemand();
      }
      if (!workers.haveFreeCapacity()) {
        break;
      }
    }
    workers.byService.values().forEach(c -> candidatesExamined += c.examinedCount());
  }

  /** Makes the next call of {@link #place} run a round even without new steps or capacity. */
  void forceNextRound() {
    lastPlacedChanges = FORCE_ROUND;
  }

  /** Sends the pending orders of a worker. */
  void sendOrders(WorkerState w, long fence, Instant now, List<Effect> effects) {
    addSend(w, w.takeOrders(fence, now), effects);
  }

  /**
   * Sends a worker the next orders, even if these are empty, when earlier orders seem to be lost.
   * Once the agent has processed the new orders, the runs of lost orders are recognized as lost.
   */
  void probeLostOrders(WorkerState w, long fence, Instant now, List<Effect> effects) {
    addSend(w, w.probeLostOrders(fence, LOST_ORDERS_TIMEOUT, now), effects);
  }

  /** Asks an agent for run lists that are made after a time, unless that was done before. */
  void requestLists(WorkerState w, long fence, Instant since, Instant now, List<Effect> effects) {
    addSend(w, w.requestLists(fence, since, LISTS_REQUEST_INTERVAL, now), effects);
  }

  /** Marks stalled runs to be stopped if another worker has free capacity for their tasks. */
  void moveStalledRuns(Instant now) {
    for (WorkerState w : fleet.workers()) {
      for (Run r : w.runs.values()) {
        LiveStep step = r.step;
        if (w.synced && step != null && StalledRuns.shouldMove(r, now)) {
          moveIfPossible(r, step, w, now);
        }
      }
    }
  }

  private void moveIfPossible(Run run, LiveStep step, WorkerState from, Instant now) {
    Candidates others = usableWorkers(ledger.serviceOf(step.job.queue), step.spec.need(), now);
    if (placer.choose(step, others, Set.of(from.agent), now).worker() == null) {
      return;
    }
    run.isMoving = true;
    step.avoidAgent(run.id.task().index(), from.agent);
    from.health.failed(step.job.job.id());
    String inputs =
        "agent=" + from.agent + " progress=" + run.progress() + " stalled=" + run.stalledFor();
    decisions.accept(Decision.of("run_moved", run.id, "stalled", inputs));
  }

  private static void addSend(WorkerState w, @Nullable RunOrders orders, List<Effect> effects) {
    if (orders != null) {
      effects.add(new Send(w.agent, orders));
    }
  }

  private Candidates usableWorkers(ServiceName service, Resources minNeed, Instant now) {
    Candidates usable = Candidates.withMinNeed(minNeed);
    candidatesExamined += fleet.workers().size();
    for (WorkerState w : fleet.workers()) {
      MinionProfile m = w.minion;
      if (m != null && m.service().equals(service) && mayTakeTasks(w, now)) {
        usable.add(w);
      }
    }
    return usable;
  }

  private boolean mayTakeTasks(WorkerState w, Instant now) {
    MinionProfile m = w.minion;
    if (m == null
        || !w.isUsable(now)
        || ledger.isOutOfService(m.domain())
        || w.health.isEjected(now)) {
      return false;
    }
    return !w.health.isProbed() || w.runs.size() < MAX_PROBE_RUNS;
  }

  /**
   * Starts the waiting tasks of a step that workers have free capacity for.
   *
   * @return whether other steps of an equal demand may start
   */
  private boolean placeStep(LiveStep step, Candidates workers, long firstRun, Instant now) {
    boolean demandMet = true;
    while (!step.waiting.isEmpty()) {
      Placement p = choose(step, workers, now);
      WorkerState w = p.worker();
      if (w == null) {
        demandMet = p.demandMet();
        break;
      }
      startTask(step, w, firstRun, now);
      if (mayTakeTasks(w, now)) {
        workers.refresh();
      } else {
        workers.remove(w);
      }
    }
    liveJobs.ready.tasksRemoved(step);
    return demandMet;
  }

  /**
   * Chooses a worker for the next task of a step. Workers where the task has failed or stalled are
   * chosen only when no other worker has free capacity, because a broken minion may fail every
   * task.
   */
  private Placement choose(LiveStep step, Candidates workers, Instant now) {
    Set<NodeId> avoided = step.avoidedAgents(step.waiting.getFirst());
    Placement p = placer.choose(step, workers, avoided, now);
    boolean tryAvoided = p.worker() == null && !avoided.isEmpty();
    return tryAvoided ? placer.choose(step, workers, Set.of(), now) : p;
  }

  private void startTask(LiveStep step, WorkerState w, long firstRun, Instant now) {
    int index = step.waiting.getFirst();
    long number = step.assign(index, firstRun);
    RunId id = new RunId(step.task(index), number);
    long orderNumber = w.orderStart(new StartOrder(id, step.job.job.spec()));
    w.add(new Run(id, step, step.spec.need(), orderNumber, now));
    liveJobs.markStarted(step.job);
    String inputs =
        "agent="
            + w.agent
            + " life="
            + (w.minion == null ? "" : w.minion.life())
            + " orders="
            + orderNumber
            + step.job.describeConfirmation(now);
    decisions.accept(
        Decision.of("run_ordered", id, step.lateness.name().toLowerCase(Locale.ROOT), inputs));
  }

  /** The workers that may take tasks during one round, looked up by the queue of a step. */
  private final class RoundWorkers {
    final Map<ServiceName, Candidates> byService = new HashMap<>();

    /**
     * Jobs share the declarations of their queues, so that identity suffices for a fast look-up.
     */
    private final IdentityHashMap<Queue, Candidates> byQueue = new IdentityHashMap<>();

    private final Resources minNeed;
    private final Instant now;

    RoundWorkers(Resources minNeed, Instant now) {
      this.minNeed = minNeed;
      this.now = now;
    }

    Candidates of(LiveStep step) {
      Candidates known = byQueue.get(step.job.queue);
      if (known != null) {
        return known;
      }
      Candidates c =
          byService.computeIfAbsent(
              ledger.serviceOf(step.job.queue), s -> usableWorkers(s, minNeed, now));
      byQueue.put(step.job.queue, c);
      return c;
    }

    boolean haveFreeCapacity() {
      for (Candidates c : byService.values()) {
        if (c.hasFreeCapacity()) {
          return true;
        }
      }
      return false;
    }
  }
}
