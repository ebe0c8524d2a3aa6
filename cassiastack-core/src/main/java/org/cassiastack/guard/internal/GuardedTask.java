package org.cassiastack.guard.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.TaskId;
import org.cassiastack.protocol.CancelTasks.Withdrawal;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Send;
import org.cassiastack.protocol.TaskEnded;
import org.cassiastack.protocol.TaskNotStarted;

/** What the start guard remembers of one task: queued, running, ended or never to start. */
public final class GuardedTask {
  private enum State {
    QUEUED,
    RUNNING,
    ENDED,
    TOMBSTONE
  }

  private final TaskId id;
  private final Instant startDeadline;
  private Dispatch dispatch;
  private NodeId coordinator;
  private Epoch epoch;
  private int attempt;
  private State state;
  private ResultCode code = ResultCode.COMPLETE;
  private Payload output = Payload.EMPTY;

  private GuardedTask(Dispatch dispatch, NodeId coordinator, Instant startBefore, State state) {
    this.id = dispatch.task();
    this.dispatch = dispatch;
    this.coordinator = coordinator;
    this.epoch = dispatch.epoch();
    this.attempt = dispatch.attempt();
    this.startDeadline = startBefore;
    this.state = state;
  }

  /** A task that waits for a slot. */
  public static GuardedTask queued(Dispatch d, NodeId coordinator, Instant startBefore) {
    return new GuardedTask(d, coordinator, startBefore, State.QUEUED);
  }

  /** A task that was withdrawn before it came. */
  public static GuardedTask tombstone(Withdrawal w, NodeId coordinator, Epoch epoch) {
    Dispatch none =
        new Dispatch(
            w.task(),
            epoch,
            w.attempt(),
            new Incarnation(0),
            new MinionId(""),
            Payload.EMPTY,
            Duration.ZERO);
    GuardedTask t = new GuardedTask(none, coordinator, Instant.MIN, State.TOMBSTONE);
    t.code = ResultCode.CANCELLED_NOT_RUN;
    return t;
  }

  /** Returns the task. */
  public TaskId id() {
    return id;
  }

  /** Returns the dispatch that brought the task; its input is gone once it ended. */
  public Dispatch dispatch() {
    return dispatch;
  }

  /** Returns the time from which the task must not start. */
  public Instant startDeadline() {
    return startDeadline;
  }

  /** Reports go to whoever asked last under the highest epoch. */
  public void updateCoordinator(NodeId from, Epoch askedEpoch) {
    if (!askedEpoch.isBefore(epoch)) {
      coordinator = from;
      epoch = askedEpoch;
    }
  }

  /** Tells whether a dispatch is a new attempt at a task that is known not to have started. */
  public boolean isSupersededBy(Dispatch d) {
    boolean laterEpoch = epoch.isBefore(d.epoch());
    boolean laterAttempt = epoch.equals(d.epoch()) && attempt < d.attempt();
    return state == State.TOMBSTONE && (laterEpoch || laterAttempt);
  }

  /** Tells whether a withdrawal is of this attempt; one of an earlier attempt may come late. */
  public boolean isCoveredBy(Withdrawal w) {
    return attempt <= w.attempt();
  }

  /** Makes a tombstone cover the attempts that were withdrawn, too. */
  public void extendTombstone(Withdrawal w) {
    attempt = Math.max(attempt, w.attempt());
  }

  /** Tells whether the task is known never to start under its attempts so far. */
  public boolean isTombstone() {
    return state == State.TOMBSTONE;
  }

  /** Tells whether the task waits for a slot. */
  public boolean isQueued() {
    return state == State.QUEUED;
  }

  /** Tells whether the task has started and not ended. */
  public boolean isRunning() {
    return state == State.RUNNING;
  }

  /** Marks the task as started. */
  public void markStarted() {
    state = State.RUNNING;
  }

  /** Marks a task as never to start. */
  public void markTombstone(ResultCode reason) {
    state = State.TOMBSTONE;
    code = reason;
    dropInput();
  }

  /** Keeps the outcome of a task; a minion that was never reached leaves a tombstone. */
  public void recordOutcome(ResultCode outcome, Payload result) {
    state = outcome.isNotRun() ? State.TOMBSTONE : State.ENDED;
    code = outcome;
    output = result;
    dropInput();
  }

  /** Returns the message that tells what is known, or nothing while the task waits or runs. */
  public List<Effect> report() {
    return switch (state) {
      case QUEUED, RUNNING -> List.of();
      case ENDED -> List.of(new Send(coordinator, new TaskEnded(id, epoch, code, output)));
      case TOMBSTONE ->
          List.of(new Send(coordinator, new TaskNotStarted(id, epoch, attempt, code)));
    };
  }

  private void dropInput() {
    dispatch =
        new Dispatch(
            id,
            dispatch.epoch(),
            dispatch.attempt(),
            dispatch.agentIncarnation(),
            dispatch.minion(),
            Payload.EMPTY,
            Duration.ZERO);
  }
}
