package org.cassiastack.runs;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.model.Incarnation;
import org.cassiastack.protocol.Message;
import org.jspecify.annotations.Nullable;

/**
 * Message from an agent to the leader: the state of the agent's minion and its runs. The leader
 * answers with an {@link AgentLease}.
 *
 * @param incarnation the incarnation of the agent's process
 * @param sentAt when the agent sent the report, by the agent's clock; the lease counts from this
 *     time
 * @param fence the highest fence that the agent has seen; the agent ignores orders with a lower
 *     fence
 * @param minion the minion, or null while no minion has announced itself to the agent
 * @param reachable whether the minion answers the agent's calls
 * @param listsComplete whether {@code running}, {@code unresolved} and {@code ended} name every run
 *     that may exist; false after a restart of the agent, while calls of its earlier incarnation
 *     may still be in flight, after a restart of the minion until it has answered, and while the
 *     minion has more ended runs than it lists
 * @param processedOrdersThrough number of the last {@link RunOrders} of the receiver that the agent
 *     has processed; 0 while the agent obeys another process
 * @param listAge age of the minion's run lists when the report was sent
 * @param running runs that the minion is executing
 * @param unresolved runs whose start is not confirmed: the minion may have started them or may
 *     still start them
 * @param ended runs that have ended and whose end the leader has not acknowledged
 * @since 0.2
 */
public record AgentReport(
    Incarnation incarnation,
    Instant sentAt,
    long fence,
    @Nullable MinionProfile minion,
    boolean reachable,
    boolean listsComplete,
    long processedOrdersThrough,
    Duration listAge,
    List<ActiveRun> running,
    List<RunId> unresolved,
    List<EndedRun> ended)
    implements Message {
  /** Creates a report; the lists are copied. */
  public AgentReport {
    running = List.copyOf(running);
    unresolved = List.copyOf(unresolved);
    ended = List.copyOf(ended);
  }
}
