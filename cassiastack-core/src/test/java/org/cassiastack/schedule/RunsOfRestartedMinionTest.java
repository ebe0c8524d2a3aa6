package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cassiastack.model.NodeId;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.RunId;
import org.junit.jupiter.api.Test;

/** Runs of a minion that restarts may go on, or begin, until its lists lack them. */
class RunsOfRestartedMinionTest extends LeaderScenario {
  /**
   * Guards against a task that starts elsewhere before the restarted minion has listed its runs.
   */
  @Test
  void a_run_counts_until_complete_lists_of_the_restarted_minion_lack_it() {
    submit(1, true);
    NodeId agent = lastStartAgent;
    minionStarts.put(agent, 2L);

    report(agent, List.of(), List.of(), false, false);
    List<RunId> startedBefore = started();
    report(agent, List.of(), List.of());

    assertThat(startedBefore).hasSize(1);
    assertThat(started()).hasSize(2);
  }

  /** Guards against a run that counts as lost by a report that does not obey this leader yet. */
  @Test
  void a_report_under_another_fence_about_a_restarted_minion_loses_no_runs() {
    submit(1, true);
    NodeId agent = lastStartAgent;
    RunId run = started().get(0);
    minionStarts.put(agent, 2L);

    fence--;
    report(agent, List.of(), List.of());
    fence++;
    report(agent, List.of(new ActiveRun(run, 10)), List.of());

    assertThat(started()).containsExactly(run);
  }

  /** Guards against a third run beside a second one that is still to be stopped. */
  @Test
  void a_task_whose_run_is_lost_does_not_start_again_beside_another_run_of_it() {
    submit(1, true);
    NodeId agent = lastStartAgent;
    NodeId other = agent.equals(FIRST) ? SECOND : FIRST;
    RunId run = started().get(0);
    RunId second = new RunId(run.task(), run.number() + 1);
    report(other, List.of(new ActiveRun(second, 10)), List.of(), false, false);

    report(agent, List.of(), List.of());
    report(other, List.of(new ActiveRun(second, 20)), List.of(), false, false);

    assertThat(started()).containsExactly(run);
  }

  /** Guards against orders for a minion whose runs are not known. */
  @Test
  void a_restarted_minion_gets_no_tasks_before_its_lists_are_complete() {
    NodeId other = lastStartAgent.equals(FIRST) ? SECOND : FIRST;
    minionStarts.put(FIRST, 2L);
    minionStarts.put(SECOND, 2L);
    report(FIRST, List.of(), List.of(), false, false);
    report(SECOND, List.of(), List.of(), false, false);

    submit(1, true);
    List<RunId> startedBefore = started();
    report(other, List.of(), List.of());

    assertThat(startedBefore).isEmpty();
    assertThat(started()).hasSize(1);
  }
}
