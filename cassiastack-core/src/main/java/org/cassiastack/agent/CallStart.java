package org.cassiastack.agent;

import java.time.Duration;
import org.cassiastack.controller.Effect;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.StartOrder;

/**
 * Effect: calls the minion to start a run. The result is {@link StartAnswered}.
 *
 * @param minionIncarnation incarnation of the minion that the call is for
 * @param order the run to start
 * @param fence fence of the call, at least that of the holder whom the agent obeys, and higher than
 *     that of any call to a former incarnation of the minion
 * @param deadlineMillis time on the minion's clock after which the run must not start and at which
 *     the lease of the run expires
 * @param timeout how long the agent waits for the answer
 * @since 0.2
 */
public record CallStart(
    MinionIncarnation minionIncarnation,
    StartOrder order,
    long fence,
    long deadlineMillis,
    Duration timeout)
    implements Effect {}
