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
  private static final Duration SETTLE = Duration.ofSeconds(90);

  @Property(tries = 300, seed = "20261204", shrinking = ShrinkingMode.OFF)
  void starts_each_task_once_and_answers_truly_through_every_failure(@ForAll long seed) {
    JobSimulation world = new JobSimulation(seed, 1);
    world.schedule.runFor(Duration.ofSeconds(1));

    disturb(world, new SplittableRandom(seed));
    world.network.disableFaults();
    world.schedule.runFor(SETTLE);

    assertThat(world.callers.waiting()).as("callers without an answer").isZero();
  }

  @Property(tries = 50, seed = "20261204", shrinking = ShrinkingMode.OFF)
  void completes_each_job_in_time_as_a_naive_dispatcher_does_when_nothing_fails(@ForAll long seed) {
    JobSimulation world = new JobSimulation(seed, 0);
    world.schedule.runFor(Duration.ofSeconds(1));

    int tasks = 0;
    for (int i = 1; i <= 10; i++) {
      Job job = patient(world.job(i));
      tasks += i;
      world.submit(job);
      world.submit(job);
    }
    world.schedule.runFor(SETTLE);

    // The naive dispatcher runs each task of each job where it stands and answers its outputs in
    // order; Callers compares each answer with just that.
    assertThat(world.callers.counts()).containsOnlyKeys(ResultCode.COMPLETE);
    assertThat(world.callers.counts().get(ResultCode.COMPLETE)).isEqualTo(20);
    assertThat(world.callers.starts()).isEqualTo(tasks);
    assertThat(world.network.sent(TaskEnded.class)).isEqualTo(tasks);
    assertThat(world.network.sent(TaskNotStarted.class)).isZero();
  }

  private static Job patient(Job j) {
    return new Job(
        j.key(), j.customer(), j.service(), JobSimulation.RETENTION, j.idempotent(), j.tasks());
  }

  private static void disturb(JobSimulation world, SplittableRandom random) {
    List<Job> jobs = new ArrayList<>();
    jobs.add(world.job(3));
    for (int step = 0; step < STEPS; step++) {
      Duration pause = Duration.ofMillis(random.nextLong(100, 30_000));
      int agent = random.nextInt(world.agents.size());
      int choice = random.nextInt(100);
      if (choice < 40) {
        jobs.add(world.job(1 + random.nextInt(5)));
        world.submit(jobs.get(jobs.size() - 1));
      } else if (choice < 75) {
        world.submit(jobs.get(random.nextInt(jobs.size())));
      } else if (choice < 85) {
        world.cancel(jobs.get(random.nextInt(jobs.size())));
      } else if (choice < 88) {
        world.crashAgent(agent, pause);
      } else if (choice < 91) {
        world.pause(world.agents.get(agent), pause);
      } else if (choice < 94) {
        world.isolateAgent(agent, pause);
      } else if (choice < 96) {
        world.pause(world.entry, pause);
      } else if (choice < 98 && world.entry.isUp()) {
        world.crashEntry(pause);
      }
      world.schedule.runFor(Duration.ofMillis(random.nextLong(1, 500)));
    }
  }
}
