package org.cassiastack.schedule.internal;

import java.time.Instant;
import org.cassiastack.model.NodeId;
import org.cassiastack.runs.AgentReport;
import org.jspecify.annotations.Nullable;

/**
 * The oldest of the run lists that some agents have reported last.
 *
 * @param since time since which every agent has listed all its runs under the dispatcher's fence;
 *     {@link Instant#MIN} if one never has, {@link Instant#MAX} without agents
 * @param agent the agent with these lists, or null without agents
 * @param report last report of that agent, or null if it has not reported
 */
record OldestLists(Instant since, @Nullable NodeId agent, @Nullable AgentReport report) {
  /** The lists of no agent, for a dispatcher that waits for none. */
  static final OldestLists NONE = new OldestLists(Instant.MAX, null, null);

  /** Returns the inputs of a decision about jobs that wait for the lists. */
  String describe() {
    AgentReport r = report;
    return "lists_since="
        + since
        + " oldest="
        + agent
        + " sent="
        + (r == null ? null : r.sentAt())
        + " fence="
        + (r == null ? null : r.fence());
  }
}
