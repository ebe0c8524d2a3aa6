package org.cassiastack.agent;

import java.time.Duration;
import org.cassiastack.model.Incarnation;

/**
 * Settings of an agent.
 *
 * @param incarnation this life of the agent's process
 * @param longestHold longest time for which a minion keeps its runs alive without a call
 * @param stopGrace longest time that a minion takes to end a run
 * @since 0.2
 */
public record AgentSettings(Incarnation incarnation, Duration longestHold, Duration stopGrace) {}
