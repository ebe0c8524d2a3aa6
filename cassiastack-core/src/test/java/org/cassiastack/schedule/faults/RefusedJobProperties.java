package org.cassiastack.schedule.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.RequestAnswer;

/**
 * Submits more durable jobs than the minions can run in time, each of them twice, while leaders
 * change. Guards against refused jobs that run because a copy of their submission comes late.
 */
class RefusedJobProperties {
  private static final int START_MILLIS = 4_000;
  private static final int LOAD_MILLIS = 24_000;
  private static final int SETTLE_MILLIS = 15_000;
  private static final int MAX_COPY_DELAY_MILLIS = 8_000;

  @Property(tries = 10, shrinking = ShrinkingMode.OFF, seed = "34")
  void no_task_of_a_refused_job_is_started_however_late_a_copy_of_it_comes(@ForAll long seed) {
    QueueSimulation simulation = QueueSimulation.create(seed);
    Random random = new Random(seed + 1);
    simulation.run(START_MILLIS);
    simulation.configure(1, Duration.ofMillis(60));
    simulation.run(200);
    Map<QueuedJobId, List<Long>> requestIds = new LinkedHashMap<>();

    while (simulation.millis() < LOAD_MILLIS) {
      if (random.nextInt(50) == 0) {
        injectFault(simulation, random);
      }
      QueuedJobId id = new QueuedJobId(random.nextLong());
      int delay = random.nextInt(MAX_COPY_DELAY_MILLIS);
      int tasks = random.nextInt(8) == 0 ? 60 : 1 + random.nextInt(4);
      requestIds.put(id, simulation.submitWithLateCopy(id, tasks, delay));
      simulation.run(20 + random.nextInt(100));
    }
    simulation.run(SETTLE_MILLIS);

    int refused = 0;
    for (Map.Entry<QueuedJobId, List<Long>> e : requestIds.entrySet()) {
      if (e.getValue().stream().anyMatch(r -> wasOverloaded(simulation, r))) {
        refused++;
        assertThat(simulation.runChecker().hasStarted(e.getKey()))
            .as(simulation + " job " + e.getKey() + " was refused and has started")
            .isFalse();
      }
    }
    assertThat(refused).isPositive();
  }

  private static boolean wasOverloaded(QueueSimulation simulation, long requestId) {
    RequestAnswer a = simulation.answer(requestId);
    return a != null && a.code() == AnswerCode.OVERLOADED;
  }

  private static void injectFault(QueueSimulation simulation, Random random) {
    SimulatedNode member = simulation.members().get(random.nextInt(QueueSimulation.MEMBERS));
    boolean allMembersUp = simulation.members().stream().allMatch(SimulatedNode::isUp);
    if (random.nextBoolean() && allMembersUp) {
      member.kill();
      simulation.runAfter(300 + random.nextInt(1_500), member::start);
    } else {
      member.pause();
      simulation.runAfter(500 + random.nextInt(3_000), member::resume);
    }
  }
}
