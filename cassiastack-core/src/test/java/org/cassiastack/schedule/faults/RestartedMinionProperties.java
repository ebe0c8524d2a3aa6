package org.cassiastack.schedule.faults;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Plays {@link RestartedMinionFaults}. Guards against calls that were made for the former
 * incarnation of a minion and that make a task run twice when the next incarnation carries them
 * out.
 */
class RestartedMinionProperties {
  @Property(tries = 10, shrinking = ShrinkingMode.OFF, seed = "48")
  void without_late_calls_no_task_has_two_runs_while_minions_restart(@ForAll long seed) {
    RestartedMinionFaults.NO_LATE_CALLS.play(seed);
  }

  @Property(tries = 20, shrinking = ShrinkingMode.OFF, seed = "48")
  void no_task_has_two_runs_while_late_starts_reach_a_restarted_minion(@ForAll long seed) {
    RestartedMinionFaults.LATE_STARTS.play(seed);
  }

  @Property(tries = 20, shrinking = ShrinkingMode.OFF, seed = "48")
  void no_task_has_two_runs_while_late_hold_calls_reach_a_restarted_minion(@ForAll long seed) {
    RestartedMinionFaults.LATE_HOLDS.play(seed);
  }

  @Property(tries = 20, shrinking = ShrinkingMode.OFF, seed = "48")
  void no_task_has_two_runs_while_late_calls_come_beside_a_loss_of_the_leader(@ForAll long seed) {
    RestartedMinionFaults.LEADER_LOST.play(seed);
  }

  @Property(tries = 25, shrinking = ShrinkingMode.OFF, seed = "48")
  void no_task_has_two_runs_while_late_hold_calls_reach_a_restarted_minion_of_a_dispatcher(
      @ForAll long seed) {
    RestartedMinionFaults.DISPATCHERS_LATE_HOLDS.play(seed);
  }
}
