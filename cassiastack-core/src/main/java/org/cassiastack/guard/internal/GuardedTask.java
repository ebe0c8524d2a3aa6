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

/** Record of one task at the start guard: queued, running, ended or never to start. */
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

  private GuardedTask(Dispatch dispatch, NodeId coordinator, Instant startDeadline, State state) {
    this.id = dispatch.task();
    this.dispatch = dispatch;
    this.coordinator = coordinator;
    this.epoch = dispatch.epoch();
    this.attempt = dispatch.attempt();
    this.startDeadline = startDeadline;
    this.state = state;
  }

  /** Creates the record of a task that waits for a slot. */
  public static GuardedTask queued(Dispatch d, NodeId coordinator, Instant startDeadline) {
    return new GuardedTask(d, coordinator, startDeadline, State.QUEUED);
  }

  /** Creates the record of a task that was withdrawn before its dispatch arrived. */
  public static GuardedTask tombstone(Withdrawal w, NodeId coordinator, Epoch epoch) {
    Dispatch placeholder =
        new Dispatch(
            w.task(),
            epoch,
            w.attempt(),
            new Incarnation(0),
            new MinionId(""),
            Payload.EMPTY,
            Duration.ZERO);
    GuardedTask t = new GuardedTask(placeholder, coordinator, Instant.MIN, State.TOMBSTONE);
    t.code = ResultCode.CANCELLED_NOT_RUN;
    return t;
  }

  /** Returns the identity of the task. */
  public TaskId id() {
    return id;
  }

  /**
   * Returns the dispatch of the task. Its payload is empty and its timeout zero once the task has
   * ended or has become a tombstone.
   */
  public Dispatch dispatch() {
    return dispatch;
  }

  /** Returns the time at and after which the task must not start. */
  public Instant startDeadline() {
    return startDeadline;
  }

  /** Directs reports to the latest sender with the highest epoch; other senders are ignored. */
  public void updateCoordinator(NodeId sender, Epoch senderEpoch) {
    if (!senderEpoch.isBefore(epoch)) {
      coordinator = sender;
      epoch = senderEpoch;
    }
  }

  /**
   * Returns whether the task is a tombstone and a dispatch is an attempt that the tombstone does
   * not cover.
   */
  public boolean isSupersededBy(Dispatch d) {
    boolean isLaterEpoch = epoch.isBefore(d.epoch());
    boolean isLaterAttempt = epoch.equals(d.epoch()) && attempt < d.attempt();
    return state == State.TOMBSTONE && (isLaterEpoch || isLaterAttempt);
  }

  /**
   * Returns whether a withdrawal covers the recorded attempt. The withdrawal of an earlier attempt
   * may arrive late.
   */
  public boolean isCoveredBy(Withdrawal w) {
    return attempt <= w.attempt();
  }

  /** Extends a tombstone to the attempts that a withdrawal covers. */
  public void extendTombstone(Withdrawal w) {
    attempt = Math.max(attempt, w.attempt());
  }

  /** Returns whether the attempts at the task that are recorded so far will never start. */
  public boolean isTombstone() {
    return state == State.TOMBSTONE;
  }

  /** Returns whether the task waits for a slot. */
  public boolean isQueued() {
    return state == State.QUEUED;
  }

  /** Returns whether the task has started and not ended. */
  public boolean isRunning() {
    return state == State.RUNNING;
  }

  /** Marks the task as started. */
  public void markStarted() {
    state = State.RUNNING;
  }

  /** Marks the task as never to start. */
  public void markTombstone(ResultCode reason) {
    state = State.TOMBSTONE;
    code = reason;
    dropPayload();
  }

  /** Records the outcome of the task; a not-run outcome makes the record a tombstone. */
  public void recordOutcome(ResultCode outcome, Payload result) {
    state = outcome.isNotRun() ? State.TOMBSTONE : State.ENDED;
    code = outcome;
    output = result;
    dropPayload();
  }

  /** Returns the message with the outcome, or an empty list while the task is queued or running. */
  public List<Effect> report() {
    return switch (state) {
      case QUEUED, RUNNING -> List.of();
      case ENDED -> List.of(new Send(coordinator, new TaskEnded(id, epoch, code, output)));
      case TOMBSTONE ->
          List.of(new Send(coordinator, new TaskNotStarted(id, epoch, attempt, code)));
    };
  }

  private void dropPayload() {
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
