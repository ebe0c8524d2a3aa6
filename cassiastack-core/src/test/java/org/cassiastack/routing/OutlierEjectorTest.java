package org.cassiastack.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cassiastack.membership.AvailableMinion;
import org.cassiastack.model.Customer;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.JobId;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Minion;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Worker;
import org.junit.jupiter.api.Test;

class OutlierEjectorTest {
  private static final Instant START = Instant.parse("2026-12-04T08:00:00Z");

  private final OutlierEjector ejector = OutlierEjector.create();

  @Test
  void ejects_a_minion_after_consecutive_failures_from_several_jobs() {
    List<MinionLoad> all = loads(4);

    recordFailures(all.get(0), all, 3);

    assertThat(all.get(0).hasFreeSlot(START)).isFalse();
    assertThat(all.get(1).hasFreeSlot(START)).isTrue();
  }

  @Test
  void does_not_eject_a_minion_that_failed_tasks_of_a_single_job() {
    List<MinionLoad> all = loads(4);

    for (int i = 0; i < 50; i++) {
      all.get(0).taskFailed(job(1));
      ejector.afterFailure(all.get(0), all, START);
    }

    assertThat(all.get(0).hasFreeSlot(START)).isTrue();
  }

  @Test
  void probes_a_minion_with_one_task_after_its_ejection() {
    List<MinionLoad> all = loads(4);
    recordFailures(all.get(0), all, 3);
    Instant afterEjection = START.plusSeconds(5);

    boolean freeBeforeDispatch = all.get(0).hasFreeSlot(afterEjection);
    all.get(0).taskDispatched();
    boolean freeAfterDispatch = all.get(0).hasFreeSlot(afterEjection);

    assertThat(freeBeforeDispatch).isTrue();
    assertThat(freeAfterDispatch).isFalse();
  }

  @Test
  void stops_probing_a_minion_after_a_success() {
    List<MinionLoad> all = loads(4);
    recordFailures(all.get(0), all, 3);
    Instant afterEjection = START.plusSeconds(5);
    all.get(0).taskDispatched();

    all.get(0).taskCompleted(Duration.ofMillis(100));

    assertThat(all.get(0).hasFreeSlot(afterEjection)).isTrue();
  }

  @Test
  void opens_the_circuit_when_every_minion_fails() {
    List<MinionLoad> all = loads(4);

    all.forEach(m -> recordFailures(m, all, 3));

    assertThat(ejector.isOpen(START)).isTrue();
    assertThat(ejector.isOpen(START.plusSeconds(2))).isFalse();
  }

  @Test
  void closes_the_circuit_after_a_success() {
    List<MinionLoad> all = loads(4);
    all.forEach(m -> recordFailures(m, all, 3));

    ejector.afterSuccess();

    assertThat(ejector.isOpen(START)).isFalse();
  }

  @Property(seed = "20261204")
  void never_ejects_more_than_half_of_the_minions(
      @ForAll @IntRange(min = 1, max = 30) int minions,
      @ForAll @IntRange(min = 3, max = 20) int failures) {
    OutlierEjector newEjector = OutlierEjector.create();
    List<MinionLoad> all = loads(minions);

    for (MinionLoad m : all) {
      for (int i = 0; i < failures; i++) {
        m.taskFailed(job(i));
        newEjector.afterFailure(m, all, START);
      }
    }

    assertThat(all.stream().filter(m -> m.health().isEjected(START)).count())
        .isLessThanOrEqualTo(minions / 2);
  }

  private void recordFailures(MinionLoad m, List<MinionLoad> all, int times) {
    for (int i = 0; i < times; i++) {
      m.taskFailed(job(i));
      ejector.afterFailure(m, all, START);
    }
  }

  private static JobId job(int number) {
    return new JobId(new Customer("ayaz"), JobKey.of(START, 0, number));
  }

  private static List<MinionLoad> loads(int count) {
    List<MinionLoad> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Worker w = new Worker("worker-" + i, "rack-1", new FailureDomain("north"), 32, 65_536);
      Minion m = new Minion(new MinionId("minion-" + i), new ServiceName("ice"), w, 8, 64);
      all.add(MinionLoad.of(new AvailableMinion(new NodeId("agent-" + i), new Incarnation(1), m)));
    }
    return all;
  }
}
