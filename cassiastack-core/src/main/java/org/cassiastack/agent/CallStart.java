package org.cassiastack.agent;

import java.time.Duration;
import org.cassiastack.controller.Effect;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.StartOrder;

/**
 * The effect of asking the minion to start a run; answered by {@link StartAnswered}.
 *
 * @param minionIncarnation the life of the minion that is meant
 * @param order the run
 * @param fence fence of the leader that ordered it
 * @param deadlineMillis time on the minion's clock after which it must not start, and at which its
 *     lease runs out
 * @param timeout how long to wait for the answer
 * @since 0.2
 */
public record CallStart(
    MinionIncarnation minionIncarnation,
    StartOrder order,
    long fence,
    long deadlineMillis,
    Duration timeout)
    implements Effect {}
