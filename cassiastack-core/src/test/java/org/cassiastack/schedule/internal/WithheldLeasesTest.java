package org.cassiastack.schedule.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.queue.QueuedJobId;
import org.cassiastack.queue.QueuedTaskId;
import org.cassiastack.queue.Resources;
import org.cassiastack.runs.ActiveRun;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunId;
import org.junit.jupiter.api.Test;

/** Guards against runs that end with a lease of which the log does not tell why it ended. */
class WithheldLeasesTest {
  private static final Instant NOW = Instant.parse("2026-12-07T15:13:23Z");
  private static final NodeId AGENT = new NodeId("10.3.0.7/agent");
  private static final Duration LEASE = Duration.ofMillis(800);
  private static final long FENCE = 12;
  private static final MinionProfile MINION =
      new MinionProfile(
          new MinionIncarnation(new MinionId("i-1"), 1),
          new ServiceName("ops"),
          new FailureDomain("a"),
          new Resources(8_000, 8_000, 0),
          List.of(),
          false);

  private final List<Decision> decisions = new ArrayList<>();
  private final WithheldLeases leases = new WithheldLeases(FENCE, decisions::add);

  @Test
  void a_lease_that_is_not_extended_is_reported_once_until_it_is_extended() {
    leases.onLease(AGENT, report(FENCE, true), LEASE);
    leases.onLease(AGENT, report(FENCE, true), Duration.ZERO);
    leases.onLease(AGENT, report(FENCE, true), Duration.ZERO);
    int once = decisions.size();
    leases.onLease(AGENT, report(FENCE, true), LEASE);
    leases.onLease(AGENT, report(FENCE, true), Duration.ZERO);

    assertThat(once).isEqualTo(1);
    assertThat(decisions).hasSize(2);
    assertThat(decisions.get(0).subject()).isEqualTo(AGENT.toString());
    assertThat(decisions.get(0).inputs())
        .isEqualTo("fence=12 report_fence=12 report_sent=" + NOW + " running=1 unresolved=0");
  }

  @Test
  void the_reason_is_told_by_the_report() {
    leases.onLease(AGENT, report(FENCE, true), Duration.ZERO);
    leases.onLease(new NodeId("10.3.0.8/agent"), report(FENCE - 1, true), Duration.ZERO);
    leases.onLease(new NodeId("10.3.0.9/agent"), report(FENCE, false), Duration.ZERO);

    assertThat(decisions)
        .extracting(Decision::outcome)
        .containsExactly("not_confirmed", "other_fence", "nothing_listed");
  }

  private static AgentReport report(long fence, boolean answered) {
    RunId run = new RunId(new QueuedTaskId(new QueuedJobId(0xaaL), 0, 0, 0), 1_501);
    return new AgentReport(
        new Incarnation(1),
        NOW,
        fence,
        MINION,
        answered,
        answered,
        0,
        Duration.ZERO,
        List.of(new ActiveRun(run, 10)),
        List.of(),
        List.of());
  }
}
