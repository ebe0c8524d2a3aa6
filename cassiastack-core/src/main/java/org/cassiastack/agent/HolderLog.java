package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.Incarnation;
import org.cassiastack.model.NodeId;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.RunId;
import org.cassiastack.runs.RunOrders;
import org.jspecify.annotations.Nullable;

/** The decisions of an agent about leases and orders that are out of the ordinary, for the log. */
final class HolderLog {
  private HolderLog() {}

  /**
   * Returns the decision about a lease that is not obeyed.
   *
   * @param mayObey whether the agent obeys its sender
   */
  static Decision ignoredLease(
      NodeId from, AgentLease l, boolean mayObey, long fence, @Nullable NodeId holder) {
    String reason = "other_report";
    if (!mayObey) {
      reason = l.fence() < fence ? "lower_fence" : "other_holder";
    }
    String inputs =
        describe(l.fence(), fence, holder)
            + " report_sent="
            + l.reportSentAt()
            + " duration="
            + l.duration();
    return Decision.of("lease_ignored", from, reason, inputs);
  }

  /**
   * Returns the decision about orders that are not carried out.
   *
   * @param processedThrough number of the last orders of the holder that were processed
   */
  static Decision ignoredOrders(
      NodeId from,
      RunOrders o,
      Incarnation self,
      long fence,
      @Nullable NodeId holder,
      long processedThrough) {
    String inputs =
        describe(o.fence(), fence, holder)
            + " number="
            + o.number()
            + " processed="
            + processedThrough
            + describeRuns(o);
    return Decision.of("orders_ignored", from, reason(o, self, fence, processedThrough), inputs);
  }

  private static String reason(RunOrders o, Incarnation self, long fence, long processedThrough) {
    if (!o.agentIncarnation().equals(self)) {
      return "other_agent";
    }
    if (o.fence() != fence) {
      return o.fence() < fence ? "lower_fence" : "higher_fence";
    }
    return o.number() <= processedThrough ? "old_number" : "other_holder";
  }

  /** Returns the decision about orders for an incarnation of the minion that is not known. */
  static Decision otherMinion(NodeId from, RunOrders o) {
    String inputs =
        "fence="
            + o.fence()
            + " number="
            + o.number()
            + " life="
            + o.minionIncarnation()
            + describeRuns(o);
    return Decision.of("orders_ignored", from, "other_minion", inputs);
  }

  /** Returns the decision about the first orders of a holder that has sent others before. */
  static Decision resumedOrders(NodeId from, RunOrders o, Duration leaseLeft) {
    String inputs =
        "fence="
            + o.fence()
            + " number="
            + o.number()
            + " lease_left="
            + leaseLeft
            + describeRuns(o);
    return Decision.of("orders_resumed", from, "first_since_taken", inputs);
  }

  /**
   * Returns the decision to obey a leader with a higher fence than that of the former holder.
   *
   * @param leaseUntil end of the former holder's lease; {@link Instant#MIN} if there was none
   */
  static Decision leaderObeyed(
      NodeId from,
      AgentLease l,
      long formerFence,
      @Nullable NodeId former,
      Instant leaseUntil,
      Instant now) {
    boolean hadLease = !leaseUntil.equals(Instant.MIN);
    String inputs =
        "fence="
            + l.fence()
            + " former="
            + former
            + " former_fence="
            + formerFence
            + " lease_left="
            + (hadLease ? Duration.between(now, leaseUntil) : "none");
    return Decision.of("leader_obeyed", from, "new_fence", inputs);
  }

  private static String describe(long fence, long ownFence, @Nullable NodeId holder) {
    return "fence=" + fence + " own_fence=" + ownFence + " holder=" + holder;
  }

  private static String describeRuns(RunOrders o) {
    List<RunId> starts = new ArrayList<>();
    o.starts().forEach(s -> starts.add(s.run()));
    return " starts=" + starts + " stops=" + o.stops();
  }
}
