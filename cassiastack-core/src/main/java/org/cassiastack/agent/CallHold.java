package org.cassiastack.agent;

import java.time.Duration;
import org.cassiastack.controller.Effect;
import org.cassiastack.runs.MinionIncarnation;

/**
 * The effect of asking the minion for its lists and of keeping its runs alive; answered by {@link
 * HoldAnswered} or {@link HoldFailed}.
 *
 * @param number number of the call, growing by one
 * @param minionIncarnation the life of the minion that is meant
 * @param fence the highest fence that the agent has seen
 * @param acknowledgedThrough number up to which the minion may forget its ends
 * @param deadlineMillis time on the minion's clock up to which its runs may go on; 0 leaves it
 * @param maxWait how long the minion waits for an end before it answers
 * @since 0.2
 */
public record CallHold(
    long number,
    MinionIncarnation minionIncarnation,
    long fence,
    long acknowledgedThrough,
    long deadlineMillis,
    Duration maxWait)
    implements Effect {}
