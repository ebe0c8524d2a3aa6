package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.cassiastack.controller.Effect;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.ServiceName;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.cassiastack.runs.StartOrder;
import org.jspecify.annotations.Nullable;

/** Starts tasks that are ready at workers that have room. */
final class Dispatcher {
  /** Runs of one generation; a task is started far less often while one leader leads. */
  private static final long RUNS_PER_GENERATION = 1_000;

  /** Steps that are looked at in one turn; those behind them have to wait in any case. */
  private static final int MOST_STEPS = 48;

  /** A minion that was ejected and is tried again gets this many runs at a time. */
  private static final int PROBES = 1;

  /** An agent that has not taken orders for this long has probably never got them. */
  private static final Duration ORDERS_LOST = Duration.ofMillis(300);

  private final JobBoard board;
  private final Fleet fleet;
  private final JobLedger ledger;
  private final Consumer<Decision> decisions;
  private final Placer placer = new FastestFit();

  Dispatcher(JobBoard board, Fleet fleet, JobLedger ledger, Consumer<Decision> decisions) {
    this.decisions = decisions;
    this.board = board;
    this.fleet = fleet;
    this.ledger = ledger;
  }

  /** Orders starts for as many tasks as there is room for. */
  void place(long generation, Instant now) {
    if (board.ready.isEmpty()) {
      return;
    }
    List<WorkerState> usable = new ArrayList<>();
    for (WorkerState w : fleet.workers()) {
      if (mayTakeWork(w, now)) {
        usable.add(w);
      }
    }
    if (usable.isEmpty()) {
      return;
    }
    long firstRun = (generation - 1) * RUNS_PER_GENERATION + 1;
    for (LiveStep s : board.ready.inOrder(MOST_STEPS)) {
      placeStep(s, usable, firstRun, now);
    }
  }

  /** Sends the orders of a worker that have gathered. */
  void send(WorkerState w, long fence, Instant now, List<Effect> effects) {
    add(w, w.takeOrders(fence, now), effects);
  }

  /** Finds out which orders of a worker were lost. */
  void probe(WorkerState w, long fence, Instant now, List<Effect> effects) {
    add(w, w.probe(fence, ORDERS_LOST, now), effects);
  }

  private static void add(WorkerState w, @Nullable RunOrders orders, List<Effect> effects) {
    if (orders != null) {
      effects.add(new Send(w.agent, orders));
    }
  }

  private boolean mayTakeWork(WorkerState w, Instant now) {
    MinionProfile m = w.minion;
    if (m == null || !w.isUsable(now) || ledger.isOut(m.domain()) || w.health.isEjected(now)) {
      return false;
    }
    return !w.health.isProbed() || w.runs.size() < PROBES;
  }

  private void placeStep(LiveStep step, List<WorkerState> usable, long firstRun, Instant now) {
    ServiceName service = ledger.serviceOf(step.job.queue);
    List<WorkerState> fit = new ArrayList<>();
    for (WorkerState w : usable) {
      MinionProfile m = w.minion;
      if (m != null && m.service().equals(service) && mayTakeWork(w, now)) {
        fit.add(w);
      }
    }
    while (!step.waiting.isEmpty()) {
      WorkerState w = choose(step, fit, now);
      if (w == null) {
        break;
      }
      start(step, w, firstRun, now);
      if (!mayTakeWork(w, now)) {
        fit.remove(w);
      }
    }
    board.ready.removeIfEmpty(step);
  }

  /**
   * Chooses a worker, away from those where the task has failed: a minion may fail all that it is
   * given. Only when no other has room it is tried there again.
   */
  private @Nullable WorkerState choose(LiveStep step, List<WorkerState> fit, Instant now) {
    int index = step.waiting.getFirst();
    List<WorkerState> others = new ArrayList<>(fit);
    others.removeIf(w -> step.hasFailedAt(index, w.agent));
    WorkerState other = placer.choose(step, others, now);
    return other != null || others.size() == fit.size() ? other : placer.choose(step, fit, now);
  }

  private void start(LiveStep step, WorkerState w, long firstRun, Instant now) {
    int index = step.waiting.getFirst();
    long number = step.assign(index, firstRun);
    RunId id = new RunId(step.task(index), number);
    long order = w.start(new StartOrder(id, step.job.job.spec()));
    w.add(new Run(id, step, step.spec.need(), order, now));
    board.markStarted(step.job);
    String inputs = "agent=" + w.agent + " life=" + (w.minion == null ? "" : w.minion.life());
    decisions.accept(
        Decision.of("run_ordered", id, step.lateness.name().toLowerCase(Locale.ROOT), inputs));
  }
}
