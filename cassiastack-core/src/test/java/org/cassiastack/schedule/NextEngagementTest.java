package org.cassiastack.schedule;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.Fences;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.junit.jupiter.api.Test;

/**
 * Tests a fallback dispatcher that has stepped down and engages again under the same fence, with an
 * agent that has not noticed it.
 */
class NextEngagementTest extends FallbackScenario {
  /**
   * Guards against an agent that ignores the orders, because it has processed those of the former
   * engagement and has not noticed the next one.
   */
  @Test
  void numbers_its_orders_above_those_of_its_former_engagement() {
    long last = runOneJobAndEngageAgain();

    report(FENCE);
    submit(false, 1);

    assertThat(sent(RunOrders.class)).isNotEmpty().allMatch(o -> o.number() > last);
  }

  /** Guards against a second run beside one whose order is on its way to the agent. */
  @Test
  void counts_no_orders_of_its_former_engagement_as_processed() {
    long last = runOneJobAndEngageAgain();
    report(FENCE);
    submit(false, 1);

    processedOrders = last;
    running.clear();
    report(FENCE);

    assertThat(started()).hasSize(1);
  }

  /**
   * Guards against a lease that keeps alive a run of a job that was handed over: its order reaches
   * the agent late, after the report that the lease answers.
   */
  @Test
  void grants_no_lease_until_the_agent_has_processed_orders_of_the_present_engagement() {
    runOneJobAndEngageAgain();
    processesOrders = false;
    report(FENCE);
    wait(Duration.ofMillis(100));
    report(FENCE);
    List<AgentLease> early = sent(AgentLease.class);

    processesOrders = true;
    report(FENCE);

    assertThat(early).extracting(AgentLease::duration).allMatch(Duration.ZERO::equals);
    assertThat(sent(AgentLease.class))
        .last()
        .extracting(AgentLease::duration)
        .matches(d -> d.compareTo(Duration.ZERO) > 0);
  }

  /** Guards against runs of jobs that were handed over and are kept alive without their callers. */
  @Test
  void stops_the_runs_of_its_former_engagement_and_extends_no_lease_for_them() {
    engage();
    report(FENCE);
    submit(false, 1);
    RunId former = started().get(0);
    engage();

    report(FENCE);
    wait(Duration.ofMillis(40));
    report(FENCE);

    assertThat(sent(RunOrders.class)).anyMatch(o -> o.stops().contains(former));
    assertThat(sent(AgentLease.class)).extracting(AgentLease::duration).containsOnly(Duration.ZERO);
  }

  /**
   * Guards against a report from before the agent took the dispatcher first, which a former
   * connection delivers late, and which lets orders of the former engagement count as processed.
   */
  @Test
  void a_late_report_with_the_fence_of_the_leader_confirms_no_agent_of_a_former_engagement() {
    runOneJobAndEngageAgain();
    processesOrders = false;
    report(Fences.ofLeader(5));
    sends.clear();

    report(FENCE);

    assertThat(sent(AgentLease.class))
        .extracting(AgentLease::duration)
        .allMatch(Duration.ZERO::equals);
  }

  /** Runs a job, engages again and returns the number of the last orders until then. */
  private long runOneJobAndEngageAgain() {
    engage();
    report(FENCE);
    submit(false, 1);
    endRun(started().get(0));
    engage();
    return processedOrders;
  }
}
