package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.cassiastack.model.NodeId;
import org.cassiastack.queue.QueuedJob;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.Resources;
import org.cassiastack.queue.StepSpec;
import org.cassiastack.request.QueueAddress;
import org.cassiastack.request.SubmitJob;
import org.cassiastack.runs.StartOrder;

/** Properties of placing over random jobs, of which many can never start. */
class PlacementProperties {
  private static final int JOBS = 150;
  private static final List<String> LABELS = List.of("", "", "a", "b", "unknown", "unknown");
  private static final Resources CAPACITY = new Resources(8_000, 8_000, 0);

  /** Guards against steps that wait although a worker has free capacity for them. */
  @Property(tries = 40, seed = "31")
  void no_step_waits_while_a_worker_has_free_capacity_and_its_label(@ForAll long seed) {
    Random random = new Random(seed);
    Leader leader = new Leader();
    leader.setUpLeaderWithOneQueueAndTwoMinions();
    for (int i = 1; i <= JOBS; i++) {
      leader.submit(new QueuedJobId(i), randomStep(random));

      assertThat(leader.startableSteps()).as("seed %s after job %s", seed, i).isEmpty();
    }
  }

  private static StepSpec randomStep(Random random) {
    String label = LABELS.get(random.nextInt(LABELS.size()));
    long milliCpu = label.equals("unknown") ? 100 : 20 + random.nextInt(400);
    return new StepSpec(1, milliCpu, 16, 0, Duration.ofMillis(1), List.of(), label, "", 0);
  }

  /** A leader with two minions of different labels, one for each try. */
  private static final class Leader extends LeaderScenario {
    private final Map<QueuedJobId, StepSpec> submitted = new HashMap<>();

    Leader() {
      labels.put(FIRST, List.of("a"));
      labels.put(SECOND, List.of("b"));
    }

    void submit(QueuedJobId id, StepSpec step) {
      submitted.put(id, step);
      QueuedJob job = new QueuedJob(id, "spec", List.of(step), true);
      QueueAddress address = new QueueAddress("h", "/q/" + id);
      request(SubmitJob.of(++lastRequestId, address, job, Duration.ofSeconds(1)));
    }

    /** Returns the steps that wait although a worker has free capacity and the label for them. */
    List<StepSpec> startableSteps() {
      Map<QueuedJobId, StepSpec> waiting = new HashMap<>(submitted);
      Map<NodeId, Resources> free = new HashMap<>(Map.of(FIRST, CAPACITY, SECOND, CAPACITY));
      starts.forEach(
          (agent, orders) -> {
            for (StartOrder o : orders) {
              StepSpec step = waiting.remove(o.run().task().job());
              free.merge(agent, step.need(), Resources::minus);
            }
          });
      List<StepSpec> startable = new ArrayList<>();
      for (StepSpec s : waiting.values()) {
        boolean fits =
            free.entrySet().stream()
                .anyMatch(
                    e ->
                        e.getValue().covers(s.need())
                            && (s.requiredLabel().isEmpty()
                                || labels.get(e.getKey()).contains(s.requiredLabel())));
        if (fits) {
          startable.add(s);
        }
      }
      return startable;
    }
  }
}
