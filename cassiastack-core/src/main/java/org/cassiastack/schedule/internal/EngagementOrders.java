package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Send;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.RunOrders;

/**
 * Tells the orders of one engagement of a fallback dispatcher from those of its former ones, which
 * have the same fence. Orders are numbered from the time of the engagement, so above those of
 * former engagements.
 */
final class EngagementOrders {
  /** Number that is lower than those of all orders of this engagement. */
  private final long firstNumber;

  /** Number of the last orders that were sent to each agent. */
  private final Map<NodeId, Long> lastNumbers = new HashMap<>();

  private EngagementOrders(long firstNumber) {
    this.firstNumber = firstNumber;
  }

  /** Returns the orders of an engagement that begins now. */
  static EngagementOrders from(Instant now) {
    return new EngagementOrders(ChronoUnit.MICROS.between(Instant.EPOCH, now));
  }

  /** Returns a report that counts the processed orders of this engagement only, from 1. */
  AgentReport withOwnNumber(NodeId agent, AgentReport r) {
    return new AgentReport(
        r.incarnation(),
        r.sentAt(),
        r.fence(),
        r.minion(),
        r.reachable(),
        r.listsComplete(),
        Math.max(0, ownNumber(agent, r) - firstNumber),
        r.listAge(),
        r.running(),
        r.unresolved(),
        r.ended());
  }

  /** Returns the effects with the orders among them, which count from 1, numbered anew. */
  List<Effect> numbered(List<Effect> effects) {
    return effects.stream().map(this::numbered).toList();
  }

  private Effect numbered(Effect e) {
    if (!(e instanceof Send s && s.message() instanceof RunOrders o)) {
      return e;
    }
    long number = firstNumber + o.number();
    lastNumbers.put(s.to(), number);
    return new Send(
        s.to(),
        new RunOrders(
            o.fence(), o.agentIncarnation(), number, o.minionIncarnation(), o.starts(), o.stops()));
  }

  /** Returns the number of the last processed orders if they are of this engagement; else 0. */
  private long ownNumber(NodeId agent, AgentReport r) {
    long number = r.processedOrdersThrough();
    return number <= lastNumbers.getOrDefault(agent, 0L) ? number : 0;
  }
}
