package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
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
import org.cassiastack.queue.Resources;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.StartOrder;
import org.cassiastack.schedule.PlacementStats;
import org.jspecify.annotations.Nullable;

/** Starts tasks that are ready at workers that have room. */
final class Dispatcher {
  /** Runs of one generation; a task is started far less often while one leader leads. */
  private static final long RUNS_PER_GENERATION = 1_000;

  /** Steps that are looked at in one turn; those behind them have to wait in any case. */
  private static final int MOST_STEPS = 48;

  /** A minion that was ejected and is tried again gets this many runs at a time. */
  private static final int PROBES = 1;

  private static final long NEVER = -1;

  /** An agent that has not taken orders for this long has probably never got them. */
  private static final Duration ORDERS_LOST = Duration.ofMillis(300);

  private final LiveJobs board;
  private final Fleet fleet;
  private final JobLedger ledger;
  private final Consumer<Decision> decisions;
  private final Placer placer = new FastestFit();
  private long looks;
  private long placedChanges = NEVER;

  Dispatcher(LiveJobs board, Fleet fleet, JobLedger ledger, Consumer<Decision> decisions) {
    this.decisions = decisions;
    this.board = board;
    this.fleet = fleet;
    this.ledger = ledger;
  }

  /** Returns what was looked at since this was asked last. */
  PlacementStats takeStats() {
    PlacementStats work = new PlacementStats(looks);
    looks = 0;
    return work;
  }

  /**
   * Orders starts for as many tasks as there is room for. Without a new step or new room since the
   * last round there is nothing to do, but for what time alone changes: see {@link
   * #forceNextRound}.
   */
  void place(long generation, Instant now) {
    long changes = board.ready.additions() + fleet.capacityIncreases();
    if (board.ready.isEmpty() || changes == placedChanges) {
      return;
    }
    placedChanges = changes;
    long firstRun = (generation - 1) * RUNS_PER_GENERATION + 1;
    Map<ServiceName, Candidates> workers = new HashMap<>();
    List<LiveStep> first = board.ready.first(MOST_STEPS);
    Resources least = leastNeed(first);
    for (LiveStep s : first) {
      ServiceName service = ledger.serviceOf(s.job.queue);
      placeStep(s, workers.computeIfAbsent(service, x -> usable(x, least, now)), firstRun, now);
    }
    workers.values().forEach(c -> looks += c.examinedCount());
  }

  private static Resources leastNeed(List<LiveStep> steps) {
    Resources least = steps.get(0).spec.need();
    for (LiveStep s : steps) {
      least = least.min(s.spec.need());
    }
    return least;
  }

  /** Lets the next round look at everything, since time has passed. */
  void forceNextRound() {
    placedChanges = NEVER;
  }

  /** Sends the orders of a worker that have gathered. */
  void sendOrders(WorkerState w, long fence, Instant now, List<Effect> effects) {
    add(w, w.takeOrders(fence, now), effects);
  }

  /** Finds out which orders of a worker were lost. */
  void probeLostOrders(WorkerState w, long fence, Instant now, List<Effect> effects) {
    add(w, w.probeLostOrders(fence, ORDERS_LOST, now), effects);
  }

  /** Has runs stopped that stand still, if another worker has room for their tasks. */
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
    Candidates others = usable(ledger.serviceOf(step.job.queue), step.spec.need(), now);
    if (placer.choose(step, others, Set.of(from.agent), now) == null) {
      return;
    }
    run.isMoving = true;
    step.avoidAgent(run.id.task().index(), from.agent);
    from.health.failed(step.job.job.id());
    String inputs =
        "agent=" + from.agent + " progress=" + run.progress() + " stalled=" + run.stalledFor();
    decisions.accept(Decision.of("run_moved", run.id, "stalled", inputs));
  }

  private static void add(WorkerState w, @Nullable RunOrders orders, List<Effect> effects) {
    if (orders != null) {
      effects.add(new Send(w.agent, orders));
    }
  }

  private Candidates usable(ServiceName service, Resources least, Instant now) {
    Candidates usable = Candidates.withMinNeed(least);
    looks += fleet.workers().size();
    for (WorkerState w : fleet.workers()) {
      MinionProfile m = w.minion;
      if (m != null && m.service().equals(service) && mayTakeWork(w, now)) {
        usable.add(w);
      }
    }
    return usable;
  }

  private boolean mayTakeWork(WorkerState w, Instant now) {
    MinionProfile m = w.minion;
    if (m == null || !w.isUsable(now) || ledger.isOut(m.domain()) || w.health.isEjected(now)) {
      return false;
    }
    return !w.health.isProbed() || w.runs.size() < PROBES;
  }

  private void placeStep(LiveStep step, Candidates workers, long firstRun, Instant now) {
    while (!step.waiting.isEmpty()) {
      WorkerState w = choose(step, workers, now);
      if (w == null) {
        break;
      }
      start(step, w, firstRun, now);
      if (mayTakeWork(w, now)) {
        workers.refresh();
      } else {
        workers.remove(w);
      }
    }
    board.ready.tasksRemoved(step);
  }

  /**
   * Chooses a worker, away from those where the task has failed or did not get on: a minion may
   * fail all that it is given. Only when no other has room it is tried there again.
   */
  private @Nullable WorkerState choose(LiveStep step, Candidates workers, Instant now) {
    Set<NodeId> avoided = step.avoidedAgents(step.waiting.getFirst());
    WorkerState other = placer.choose(step, workers, avoided, now);
    boolean anyAvoided = other == null && !avoided.isEmpty();
    return anyAvoided ? placer.choose(step, workers, Set.of(), now) : other;
  }

  private void start(LiveStep step, WorkerState w, long firstRun, Instant now) {
    int index = step.waiting.getFirst();
    long number = step.assign(index, firstRun);
    RunId id = new RunId(step.task(index), number);
    long order = w.orderStart(new StartOrder(id, step.job.job.spec()));
    w.add(new Run(id, step, step.spec.need(), order, now));
    board.markStarted(step.job);
    String inputs = "agent=" + w.agent + " life=" + (w.minion == null ? "" : w.minion.life());
    decisions.accept(
        Decision.of("run_ordered", id, step.lateness.name().toLowerCase(Locale.ROOT), inputs));
  }
}
