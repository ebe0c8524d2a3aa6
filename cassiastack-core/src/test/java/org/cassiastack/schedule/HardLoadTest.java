package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.cassiastack.queue.QueuedJobId;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;

/**
 * The build farm's load in a burst of the longest kind while a quarter of the workers is cut off,
 * which is a fifth more than the other workers can do. Guards against jobs that are admitted and
 * then held until their callers give up: a forecast without the arrivals of more urgent work
 * refused almost none of them.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class HardLoadTest {
  private static final Duration SECOND = Duration.ofSeconds(1);

  /** Target of admission: at most a tenth of the longest kind is held. */
  private static final double MAX_HELD = 0.1;

  private HardLoadPlay play;
  private HardLoadTally tally;

  @BeforeAll
  void playBurst() {
    HardLoad load = HardLoad.forja();
    play = HardLoadPlay.start(load, HardLoadPlay.settings(load), 4);
    play.burst(2, 2.3, SECOND, Duration.ofSeconds(4)).cutOffQuarter(SECOND, Duration.ofSeconds(4));
    tally = play.play(Duration.ofSeconds(5));
    System.out.print(tally.report("forja cut"));
  }

  @Test
  void the_longest_kind_is_refused_at_its_arrival_rather_than_held_until_its_callers_give_up() {
    assertThat(tally.share(HardLoadTally.Outcome.HELD, e -> e.kind == 2)).isLessThan(MAX_HELD);
  }

  @Test
  void the_shortest_kind_keeps_its_share_on_time() {
    assertThat(tally.onTimeOfKind(0)).isGreaterThan(0.9);
  }

  @Test
  void no_task_of_a_refused_job_is_started() {
    assertThat(play.refused()).isNotEmpty();
    for (QueuedJobId job : play.refused()) {
      assertThat(play.simulation().hasStarted(job)).isFalse();
    }
  }
}
