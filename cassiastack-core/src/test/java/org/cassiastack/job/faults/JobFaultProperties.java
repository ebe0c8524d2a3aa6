package org.cassiastack.job.faults;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.cassiastack.model.Job;
import org.cassiastack.model.ResultCode;
import org.cassiastack.protocol.TaskEnded;
import org.cassiastack.protocol.TaskNotStarted;

class JobFaultProperties {
  private static final int STEPS = 200;
  private static final Duration MAX_FAULT = Duration.ofSeconds(30);
  private static final Duration SHORT_DOWNTIME = Duration.ofMillis(1_500);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(90);

  @Property(tries = 300, seed = "20261204", shrinking = ShrinkingMode.OFF)
  void starts_each_task_at_most_once_and_answers_correctly_under_every_fault(@ForAll long seed) {
    JobSimulation simulation = new JobSimulation(seed, 1);
    simulation.scheduler.runFor(Duration.ofSeconds(1));

    injectFaults(simulation, new SplittableRandom(seed), MAX_FAULT);
    simulation.network.disableFaults();
    simulation.scheduler.runFor(SETTLE_TIME);

    assertThat(simulation.callers.waiting()).as("callers without an answer").isZero();
  }

  /** Guards against an answer of a restarted agent that is taken for one of its former self. */
  @Property(tries = 300, seed = "20261206", shrinking = ShrinkingMode.OFF)
  void starts_each_task_at_most_once_when_agents_restart_before_their_leases_expire(
      @ForAll long seed) {
    JobSimulation simulation = new JobSimulation(seed, 1);
    simulation.scheduler.runFor(Duration.ofSeconds(1));

    injectFaults(simulation, new SplittableRandom(seed), SHORT_DOWNTIME);
    simulation.network.disableFaults();
    simulation.scheduler.runFor(SETTLE_TIME);

    assertThat(simulation.callers.waiting()).as("callers without an answer").isZero();
  }

  @Property(tries = 50, seed = "20261204", shrinking = ShrinkingMode.OFF)
  void completes_each_job_before_its_deadline_like_a_naive_dispatcher_when_nothing_fails(
      @ForAll long seed) {
    JobSimulation simulation = new JobSimulation(seed, 0);
    simulation.scheduler.runFor(Duration.ofSeconds(1));

    int tasks = 0;
    for (int i = 1; i <= 10; i++) {
      Job job = withMaxTimeout(simulation.job(i));
      tasks += i;
      simulation.submit(job);
      simulation.submit(job);
    }
    simulation.scheduler.runFor(SETTLE_TIME);

    // A naive dispatcher runs the tasks of a job one by one and answers with the outputs in task
    // order. The class Callers compares each answer with those outputs.
    assertThat(simulation.callers.answerCounts()).containsOnlyKeys(ResultCode.COMPLETE);
    assertThat(simulation.callers.answerCounts().get(ResultCode.COMPLETE)).isEqualTo(20);
    assertThat(simulation.callers.starts()).isEqualTo(tasks);
    assertThat(simulation.network.sent(TaskEnded.class)).isEqualTo(tasks);
    assertThat(simulation.network.sent(TaskNotStarted.class)).isZero();
  }

  private static Job withMaxTimeout(Job j) {
    return new Job(
        j.key(), j.customer(), j.service(), JobSimulation.RETENTION, j.idempotent(), j.tasks());
  }

  private static void injectFaults(
      JobSimulation simulation, SplittableRandom random, Duration maxAgentDowntime) {
    List<Job> jobs = new ArrayList<>();
    jobs.add(simulation.job(3));
    for (int step = 0; step < STEPS; step++) {
      Duration faultDuration = Duration.ofMillis(random.nextLong(100, MAX_FAULT.toMillis()));
      int agent = random.nextInt(simulation.agents.size());
      int choice = random.nextInt(100);
      if (choice < 40) {
        jobs.add(simulation.job(1 + random.nextInt(5)));
        simulation.submit(jobs.get(jobs.size() - 1));
      } else if (choice < 75) {
        simulation.submit(jobs.get(random.nextInt(jobs.size())));
      } else if (choice < 85) {
        simulation.cancel(jobs.get(random.nextInt(jobs.size())));
      } else if (choice < 88) {
        Duration downtime =
            faultDuration.compareTo(maxAgentDowntime) < 0
                ? faultDuration
                : Duration.ofMillis(random.nextLong(50, maxAgentDowntime.toMillis()));
        simulation.crashAgent(agent, downtime);
      } else if (choice < 91) {
        simulation.pause(simulation.agents.get(agent), faultDuration);
      } else if (choice < 94) {
        simulation.isolateAgent(agent, faultDuration);
      } else if (choice < 96) {
        simulation.pause(simulation.entry, faultDuration);
      } else if (choice < 98 && simulation.entry.isUp()) {
        simulation.crashEntry(faultDuration);
      }
      simulation.scheduler.runFor(Duration.ofMillis(random.nextLong(1, 500)));
    }
  }
}
