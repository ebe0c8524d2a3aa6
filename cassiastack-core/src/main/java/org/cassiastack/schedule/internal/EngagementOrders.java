package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Send;
import org.cassiastack.runs.AgentLease;
import org.cassiastack.runs.AgentReport;
import org.cassiastack.runs.MinionProfile;
import org.cassiastack.runs.RunOrders;

/**
 * Tells the orders of one engagement of a fallback dispatcher from those of its former ones, which
 * have the same fence and may reach an agent late.
 *
 * <ol>
 *   <li>Orders are numbered from the time of the engagement, so above those of former engagements.
 *   <li>An agent that reports under the fence of the dispatcher may still act on orders of a former
 *       engagement. It counts only once it has processed the first orders of this one, which are
 *       empty. A connection keeps the order of its messages, so the agent's lists then name all
 *       runs that it has started by earlier orders.
 * </ol>
 */
final class EngagementOrders {
  private final long fence;

  /** Number of the first orders to each agent, which are empty, and lower than all others. */
  private final long firstNumber;

  /** Number of the last orders that were sent to each agent. */
  private final Map<NodeId, Long> lastNumbers = new HashMap<>();

  private final Set<NodeId> confirmed = new HashSet<>();

  private EngagementOrders(long fence, long firstNumber) {
    this.fence = fence;
    this.firstNumber = firstNumber;
  }

  /** Returns the orders of an engagement that begins now. */
  static EngagementOrders from(long fence, Instant now) {
    return new EngagementOrders(fence, ChronoUnit.MICROS.between(Instant.EPOCH, now));
  }

  /** Returns whether an agent acts on no orders of a former engagement any more. */
  boolean isConfirmed(NodeId agent, AgentReport report) {
    if (report.fence() != fence || ownNumber(agent, report) >= firstNumber) {
      confirmed.add(agent);
    }
    return confirmed.contains(agent);
  }

  /**
   * Returns the answers to a report of an agent that is not confirmed: the first orders and, for an
   * agent that has not taken this dispatcher yet, a lease of no duration.
   */
  List<Effect> answerUnconfirmed(NodeId agent, AgentReport report) {
    MinionProfile m = report.minion();
    AgentLease lease = new AgentLease(fence, report.sentAt(), Duration.ZERO, null, 0);
    if (m == null) {
      return List.of(new Send(agent, lease));
    }
    Send orders =
        new Send(
            agent, new RunOrders(fence, report.incarnation(), 0, m.life(), List.of(), List.of()));
    return report.processedOrdersThrough() == 0
        ? List.of(new Send(agent, lease), orders)
        : List.of(orders);
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

  /**
   * Returns the effects with the orders among them numbered anew: those of the dispatch count from
   * 1, and the first ones have the number 0.
   */
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
