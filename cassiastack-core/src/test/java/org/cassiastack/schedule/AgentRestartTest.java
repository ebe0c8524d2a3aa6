package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cassiastack.consensus.LeaseExtended;
import org.cassiastack.controller.Tick;
import org.junit.jupiter.api.Test;

class AgentRestartTest extends LeaderScenario {
  /** Guards against a restarted agent that is taken for its former incarnation for ever. */
  @Test
  void an_agent_whose_clock_was_set_back_before_its_restart_gets_leases_again() {
    reportAfterRestart(FIRST, fence);

    reportForSeconds(60);
    leases.clear();
    reportForSeconds(5);

    assertThat(leases).isNotEmpty();
  }

  /** Reports under the lower incarnation of the two. */
  private void reportForSeconds(int seconds) {
    for (int i = 0; i < 5 * seconds; i++) {
      now = now.plusMillis(200);
      on(new LeaseExtended(5, now.plusSeconds(10)));
      report(FIRST, List.of(), List.of());
      on(new Tick());
    }
  }
}
