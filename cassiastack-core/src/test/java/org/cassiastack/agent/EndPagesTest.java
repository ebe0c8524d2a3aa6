package org.cassiastack.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cassiastack.controller.Effect;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.runs.EndedRun;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOutcome;
import org.junit.jupiter.api.Test;

/** Tests an agent whose minion has more ends than it lists in one answer. */
class EndPagesTest extends AgentScenario {
  /** Guards against runs that the leader takes for lost because their ends are on a later page. */
  @Test
  void reports_incomplete_lists_while_the_minion_has_more_ends_than_it_lists() {
    answerHold(List.of(end(1)), false);
    boolean completeBefore = lastReport().listsComplete();
    List<EndedRun> endsBefore = lastReport().ended();
    lease(5, 1);

    answerHold(List.of(end(2)), true);

    assertThat(completeBefore).isFalse();
    assertThat(endsBefore).containsExactly(end(1));
    assertThat(lastReport().listsComplete()).isTrue();
  }

  @Test
  void asks_for_the_next_page_of_ends_as_soon_as_the_first_is_acknowledged() {
    answerHold(List.of(end(1)), false);

    List<Effect> effects = lease(5, 1);

    assertThat(effects).anyMatch(e -> e instanceof CallHold h && h.acknowledgedThrough() == 1);
  }

  @Test
  void a_start_is_not_proven_absent_by_lists_without_all_ends() {
    order(5, 1, MINION);
    on(new StartAnswered(RUN, StartAnswered.Outcome.STARTED));
    answerHold(List.of(end(1)), false);
    advance(40);
    answerHold(List.of(end(1)), false);

    assertThat(lastReport().unresolved()).containsExactly(RUN);
  }

  /** Guards against runs that stay known for good when their minion fails between two pages. */
  @Test
  void lists_are_complete_again_once_the_leases_of_a_silent_minion_have_run_out() {
    answerHold(List.of(end(1)), false);
    failHold();

    advance(3_000);

    assertThat(lastReport().listsComplete()).isTrue();
  }

  private static EndedRun end(long sequence) {
    QueuedTaskId task = new QueuedTaskId(new QueuedJobId(2), 0, 0, (int) sequence);
    return new EndedRun(sequence, new RunId(task, 1), RunOutcome.DONE);
  }
}
