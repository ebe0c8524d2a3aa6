package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.NodeId;
import org.cassiastack.runs.AgentReport;

/** Reports agents whose leases are not extended any more, once until they are again. */
final class WithheldLeases {
  private final Set<NodeId> withheld = new HashSet<>();
  private final long fence;
  private final Consumer<Decision> decisions;

  WithheldLeases(long fence, Consumer<Decision> decisions) {
    this.fence = fence;
    this.decisions = decisions;
  }

  /** Handles the lease that the report of an agent is answered with. */
  void onLease(NodeId agent, AgentReport report, Duration lease) {
    if (!lease.isZero()) {
      withheld.remove(agent);
    } else if (withheld.add(agent)) {
      String inputs =
          "fence="
              + fence
              + " report_fence="
              + report.fence()
              + " report_sent="
              + report.sentAt()
              + " running="
              + report.running().size()
              + " unresolved="
              + report.unresolved().size();
      decisions.accept(Decision.of("lease_withheld", agent, reason(report), inputs));
    }
  }

  private String reason(AgentReport report) {
    if (report.minion() == null || (!report.listsComplete() && !report.reachable())) {
      return "nothing_listed";
    }
    return report.fence() == fence ? "not_confirmed" : "other_fence";
  }
}
