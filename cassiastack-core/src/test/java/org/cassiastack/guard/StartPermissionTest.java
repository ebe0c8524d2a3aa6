package org.cassiastack.guard;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.configuration.Configurations;
import org.cassiastack.configuration.StartsAllowed;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Epoch;
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
import org.cassiastack.protocol.Dispatch;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;
import org.cassiastack.protocol.TaskNotStarted;
import org.junit.jupiter.api.Test;

class StartPermissionTest {
  private static final NodeId ENTRY = new NodeId("entry-1");
  private static final Incarnation INCARNATION = new Incarnation(7);
  private static final Epoch EPOCH = new Epoch(1);
  private static final Duration PERMISSION_VALIDITY = Duration.ofSeconds(3);
  private static final MinionId MINION = new MinionId("minion-1");

  private Instant now = Instant.parse("2026-12-04T08:00:00Z");
  private final StartGuard guard =
      StartGuard.create(
          INCARNATION,
          List.of(
              new Minion(
                  MINION,
                  new ServiceName("ice"),
                  new Worker("w1", "r1", Configurations.NORTH, 32, 65_536),
                  1,
                  64)),
          Duration.ofMinutes(10),
          100);

  @Test
  void starts_nothing_before_it_has_received_a_configuration() {
    assertThat(dispatch(1)).containsExactly(refused(1, ResultCode.STALE));
  }

  @Test
  void starts_a_task_whose_domain_is_in_service_while_the_permission_is_valid() {
    allow(1, true);

    assertThat(dispatch(1)).hasOnlyElementsOfType(StartTask.class).hasSize(1);
  }

  @Test
  void refuses_tasks_after_the_permission_has_expired_without_renewal() {
    allow(1, true);

    now = now.plus(PERMISSION_VALIDITY);

    assertThat(dispatch(1)).containsExactly(refused(1, ResultCode.STALE));
  }

  @Test
  void an_agent_that_resumes_after_a_pause_starts_none_of_its_queued_tasks() {
    allow(1, true);
    Dispatch running = dispatchOf(1);
    on(new Received(ENTRY, running));
    dispatch(2);

    now = now.plusSeconds(60);
    List<Effect> effects = on(new TaskStopped(running.task(), ResultCode.COMPLETE, Payload.EMPTY));

    assertThat(effects).contains(refused(2, ResultCode.STALE));
    assertThat(effects).noneMatch(StartTask.class::isInstance);
  }

  @Test
  void queued_tasks_are_refused_when_the_permission_expires() {
    allow(1, true);
    dispatch(1);
    dispatch(2);

    now = now.plus(PERMISSION_VALIDITY);

    assertThat(on(new Tick())).containsExactly(refused(2, ResultCode.STALE));
  }

  @Test
  void queued_tasks_are_refused_when_their_domain_is_taken_out_of_service() {
    allow(1, true);
    dispatch(1);
    dispatch(2);

    assertThat(allow(2, false)).containsExactly(refused(2, ResultCode.DOMAIN_OUT));
  }

  @Test
  void a_task_for_a_domain_that_is_out_of_service_is_refused() {
    allow(1, false);

    assertThat(dispatch(1)).containsExactly(refused(1, ResultCode.DOMAIN_OUT));
  }

  @Test
  void a_refused_dispatch_never_starts_when_it_arrives_again_after_the_domain_is_back_in_service() {
    allow(1, false);
    dispatch(1);
    allow(2, true);

    assertThat(dispatch(1)).containsExactly(refused(1, ResultCode.DOMAIN_OUT));
  }

  @Test
  void starts_other_tasks_after_the_domain_is_back_in_service() {
    allow(1, false);
    dispatch(1);
    allow(2, true);

    assertThat(dispatch(2)).hasOnlyElementsOfType(StartTask.class).hasSize(1);
  }

  private List<Effect> allow(long revision, boolean northInService) {
    return on(
        new StartsAllowed(
            now.plus(PERMISSION_VALIDITY), Configurations.withNorth(revision, northInService)));
  }

  private List<Effect> dispatch(int index) {
    return on(new Received(ENTRY, dispatchOf(index)));
  }

  private Dispatch dispatchOf(int index) {
    return new Dispatch(
        task(index), EPOCH, 1, INCARNATION, MINION, Payload.EMPTY, Duration.ofMinutes(5));
  }

  private List<Effect> on(Event event) {
    return guard.on(event, now);
  }

  private static Send refused(int index, ResultCode reason) {
    return new Send(ENTRY, new TaskNotStarted(task(index), EPOCH, 1, reason));
  }

  private static TaskId task(int index) {
    Instant issued = Instant.parse("2026-12-04T08:00:00Z");
    return new TaskId(new JobId(new Customer("ayaz"), JobKey.of(issued, 1, 1)), index);
  }
}
