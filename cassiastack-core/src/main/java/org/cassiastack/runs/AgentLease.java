package org.cassiastack.runs;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.protocol.Message;
import org.jspecify.annotations.Nullable;

/**
 * The leader lets an agent keep its minion at work for a while.
 *
 * @param fence fence of the leader
 * @param reportSentAt time of sending of the report that it answers, by the agent's clock
 * @param duration how long the lease lasts from then on
 * @param minionIncarnation the life of the minion whose ends are acknowledged, or null
 * @param acknowledgedThrough number up to which its ends are acknowledged
 * @since 0.2
 */
public record AgentLease(
    long fence,
    Instant reportSentAt,
    Duration duration,
    @Nullable MinionIncarnation minionIncarnation,
    long acknowledgedThrough)
    implements Message {}
