package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.model.Incarnation;

/**
 * Settings of an agent.
 *
 * @param incarnation this life of the agent's process
 * @param processStartedAt when that life began; calls of an earlier life were made before
 * @param maxLease longest time for which a minion keeps its runs alive without a call
 * @param stopGrace longest time that a minion takes to end a run
 * @since 0.2
 */
public record AgentSettings(
    Incarnation incarnation, Instant processStartedAt, Duration maxLease, Duration stopGrace) {}
