package org.cassiastack.runs;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.cassiastack.model.Incarnation;
import org.cassiastack.protocol.Message;
import org.jspecify.annotations.Nullable;

/**
 * An agent tells the leader all that it knows of its minion, and asks for a lease by it.
 *
 * @param incarnation the life of the agent's process
 * @param sentAt when it was sent, by the agent's clock; the lease counts from then
 * @param fence the highest fence that the agent has seen; it obeys no lower one
 * @param minion the minion, or null while none has announced itself
 * @param reachable whether the minion answers the agent
 * @param listsComplete whether the lists are complete; a restarted agent does not know at once what
 *     calls of its earlier life are still under way
 * @param processedOrdersThrough number of the last orders that the agent has taken
 * @param listAge how long before the report the minion gave its lists
 * @param running runs that are at work
 * @param unresolved runs that may have started, or still may
 * @param ended runs that have ended and are not acknowledged
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
  /** Makes a report; the lists are copied. */
  public AgentReport {
    running = List.copyOf(running);
    unresolved = List.copyOf(unresolved);
    ended = List.copyOf(ended);
  }
}
