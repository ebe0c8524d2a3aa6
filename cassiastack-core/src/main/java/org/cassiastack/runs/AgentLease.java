package org.cassiastack.runs;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.protocol.Message;
import org.jspecify.annotations.Nullable;

/**
 * Message from the leader to an agent: permission to start runs and keep them running until the
 * lease expires. The message answers an {@link AgentReport}.
 *
 * @param fence fence of the leader
 * @param reportSentAt when the agent sent the answered report, by the agent's clock
 * @param duration duration of the lease, from {@code reportSentAt}
 * @param minionIncarnation the incarnation of the minion whose ended runs are acknowledged, or null
 *     when the leader knows no minion of the agent
 * @param acknowledgedThrough sequence number up to which ended runs of that incarnation are
 *     acknowledged
 * @since 0.2
 */
public record AgentLease(
    long fence,
    Instant reportSentAt,
    Duration duration,
    @Nullable MinionIncarnation minionIncarnation,
    long acknowledgedThrough)
    implements Message {}
