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
 * @since 0.2
 */
public record AgentSettings(
    Incarnation incarnation, Instant processStartedAt, Duration maxLease, Duration stopGrace) {}
