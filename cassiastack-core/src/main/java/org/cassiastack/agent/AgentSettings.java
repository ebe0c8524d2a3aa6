package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.model.Incarnation;

/**
 * Settings of an agent.
 *
 * @param incarnation incarnation of the agent's process
 * @param processStartedAt when this incarnation started; all calls of earlier incarnations were
 *     made before
 * @param maxLease maximum time for which a minion keeps its runs alive without a hold call
 * @param stopGrace maximum time that a minion takes to end a run
 * @param usesFallback whether the agent turns to a fallback dispatcher when it gets no leases from
 *     the leader; fences are then those of {@link org.cassiastack.runs.Fences}
 * @since 0.2
 */
public record AgentSettings(
    Incarnation incarnation,
    Instant processStartedAt,
    Duration maxLease,
    Duration stopGrace,
    boolean usesFallback) {
  /** Creates the settings of an agent that obeys leaders only. */
  public AgentSettings(
      Incarnation incarnation, Instant processStartedAt, Duration maxLease, Duration stopGrace) {
    this(incarnation, processStartedAt, maxLease, stopGrace, false);
  }

  /** Returns these settings with the given use of fallback dispatchers. */
  public AgentSettings withFallback(boolean used) {
    return new AgentSettings(incarnation, processStartedAt, maxLease, stopGrace, used);
  }
}
