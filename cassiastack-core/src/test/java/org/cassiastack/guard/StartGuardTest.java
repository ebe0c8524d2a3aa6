package org.cassiastack.guard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.configuration.Configurations;
import org.cassiastack.configuration.StartsAllowed;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Epoch;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.JobId;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Minion;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.TaskId;
import org.cassiastack.model.Worker;
import org.cassiastack.protocol.CancelTasks;
import org.cassiastack.protocol.CancelTasks.Withdrawal;
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.protocol.TaskEnded;
import org.cassiastack.protocol.TaskNotStarted;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StartGuardTest {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");
  private static final Duration RETENTION = Duration.ofMinutes(10);
  private static final Incarnation INCARNATION = new Incarnation(5);
  private static final MinionId MINION = new MinionId("minion-1");
  private static final NodeId ENTRY = new NodeId("entry-1");
  private static final Epoch EPOCH = new Epoch(1);
  private static final int CAPACITY = 10;

  private final StartGuard guard =
      StartGuard.create(INCARNATION, List.of(minion(64)), RETENTION, CAPACITY);
  private Instant now = START;

  @BeforeEach
  void starts_are_allowed() {
    guard.on(new StartsAllowed(Instant.MAX, Configurations.withNorth(1, true)), now);
  }

  @Test
  void starts_a_task_once_when_its_dispatch_arrives_twice() {
    List<Effect> first = on(dispatch(0, 1));

    List<Effect> second = on(dispatch(0, 1));

    assertThat(starts(first)).isEqualTo(1);
    assertThat(starts(second)).isZero();
  }

  @Test
  void starts_a_new_attempt_at_a_task_that_was_proven_not_started() {
    on(dispatch(0, 1));
    guard.on(new TaskStopped(task(0), ResultCode.NO_MINION, Payload.EMPTY), now);

    List<Effect> again = on(dispatch(0, 1));
    List<Effect> next = on(dispatch(0, 2));

    assertThat(starts(again)).isZero();
    assertThat(only(again, TaskNotStarted.class).attempt()).isEqualTo(1);
    assertThat(starts(next)).isEqualTo(1);
  }

  @Test
  void starts_no_attempt_at_a_task_that_was_withdrawn() {
    on(withdrawal(task(0)));

    List<Effect> effects = on(dispatch(0, 7));

    assertThat(starts(effects)).isZero();
    assertThat(only(effects, TaskNotStarted.class).attempt())
        .isEqualTo(TaskNotStarted.EVERY_ATTEMPT);
  }

  @Test
  void starts_a_later_attempt_at_a_task_after_an_earlier_attempt_was_withdrawn() {
    on(new CancelTasks(List.of(new Withdrawal(task(0), 3, INCARNATION)), EPOCH));

    List<Effect> withdrawn = on(dispatch(0, 3));
    List<Effect> later = on(dispatch(0, 4));

    assertThat(starts(withdrawn)).isZero();
    assertThat(starts(later)).isEqualTo(1);
  }

  @Test
  void keeps_a_queued_attempt_when_the_withdrawal_of_an_earlier_attempt_arrives_late() {
    StartGuard singleSlotGuard =
        StartGuard.create(INCARNATION, List.of(minion(1)), RETENTION, CAPACITY);
    singleSlotGuard.on(new StartsAllowed(Instant.MAX, Configurations.withNorth(1, true)), now);
    singleSlotGuard.on(new Received(ENTRY, dispatch(0, 1)), now);
    singleSlotGuard.on(new Received(ENTRY, dispatch(1, 4)), now);
    CancelTasks late = new CancelTasks(List.of(new Withdrawal(task(1), 3, INCARNATION)), EPOCH);

    singleSlotGuard.on(new Received(ENTRY, late), now);
    TaskStopped stopped = new TaskStopped(task(0), ResultCode.COMPLETE, Payload.EMPTY);

    assertThat(starts(singleSlotGuard.on(stopped, now))).isEqualTo(1);
  }

  @Test
  void gives_no_proof_for_a_task_whose_record_was_removed() {
    on(dispatch(0, 1));
    guard.on(new TaskStopped(task(0), ResultCode.COMPLETE, Payload.EMPTY), now);
    now = START.plus(RETENTION).plusMillis(1);
    guard.on(new Tick(), now);

    List<Effect> effects = on(dispatch(0, 1));

    assertThat(starts(effects)).isZero();
    assertThat(only(effects, TaskEnded.class).code()).isEqualTo(ResultCode.KEY_EXPIRED);
  }

  /** Guards against a second start of a task that the agent started before its restart. */
  @Test
  void gives_no_proof_for_a_task_that_was_dispatched_to_an_earlier_incarnation() {
    StartGuard restarted =
        StartGuard.create(new Incarnation(6), List.of(minion(64)), RETENTION, CAPACITY);
    on(dispatch(0, 1));

    List<Effect> effects = restarted.on(new Received(ENTRY, dispatch(0, 1)), now);

    assertThat(effects).isEmpty();
  }

  /** Guards against a second start of a task that the agent started before its restart. */
  @Test
  void gives_no_proof_for_a_withdrawn_task_that_was_dispatched_to_an_earlier_incarnation() {
    StartGuard restarted =
        StartGuard.create(new Incarnation(6), List.of(minion(64)), RETENTION, CAPACITY);
    on(dispatch(0, 1));

    List<Effect> effects = restarted.on(new Received(ENTRY, withdrawal(task(0))), now);

    assertThat(effects).isEmpty();
  }

  @Test
  void repeats_a_refusal_for_lack_of_capacity_when_capacity_is_free_again() {
    for (int i = 0; i < CAPACITY - 1; i++) {
      on(dispatch(i, 1));
      guard.on(new TaskStopped(task(i), ResultCode.COMPLETE, Payload.EMPTY), now);
    }
    Dispatch later = dispatchOf(laterTask(), 1);
    List<Effect> refused = on(later);
    now = START.plus(RETENTION).plusMillis(1);
    guard.on(new Tick(), now);

    List<Effect> again = on(later);
    List<Effect> next = on(dispatchOf(laterTask(), 2));

    assertThat(only(refused, TaskNotStarted.class).reason()).isEqualTo(ResultCode.GUARD_FULL);
    assertThat(starts(again)).isZero();
    assertThat(starts(next)).isEqualTo(1);
  }

  @Test
  void records_no_more_withdrawals_than_its_capacity_allows() {
    for (int i = 0; i < CAPACITY; i++) {
      on(withdrawal(task(i)));
    }

    List<Effect> effects = on(withdrawal(task(CAPACITY)));

    assertThat(effects).isEmpty();
  }

  private static CancelTasks withdrawal(TaskId task) {
    return new CancelTasks(
        List.of(new Withdrawal(task, TaskNotStarted.EVERY_ATTEMPT, INCARNATION)), EPOCH);
  }

  private List<Effect> on(Message message) {
    return guard.on(new Received(ENTRY, message), now);
  }

  private static Dispatch dispatch(int index, int attempt) {
    return dispatchOf(task(index), attempt);
  }

  private static Dispatch dispatchOf(TaskId task, int attempt) {
    Payload input = Payload.ofText("input");
    return new Dispatch(task, EPOCH, attempt, INCARNATION, MINION, input, Duration.ofSeconds(30));
  }

  private static TaskId task(int index) {
    return new TaskId(new JobId(new Customer("ayaz"), JobKey.of(START, 1, 1)), index);
  }

  private static TaskId laterTask() {
    JobKey key = JobKey.of(START.plusSeconds(60), 2, 2);
    return new TaskId(new JobId(new Customer("ayaz"), key), 0);
  }

  private static Minion minion(int slots) {
    FailureDomain north = new FailureDomain("north");
    Worker worker = new Worker("worker-1", "rack-1", north, 32, 65_536);
    return new Minion(MINION, new ServiceName("ice"), worker, slots, 64);
  }

  private static long starts(List<Effect> effects) {
    return effects.stream().filter(StartTask.class::isInstance).count();
  }

  private static <T extends Message> T only(List<Effect> effects, Class<T> type) {
    assertThat(effects).hasSize(1);
    return type.cast(((Send) effects.get(0)).message());
  }
}
