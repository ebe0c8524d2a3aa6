package org.cassiastack.agent;

import java.time.Duration;
import org.cassiastack.controller.Effect;
import org.cassiastack.runs.MinionIncarnation;

/**
 * Effect: sends a hold call to the minion. The hold call is a long poll for the minion's run lists
 * that also extends the deadline of its runs. The result is {@link HoldAnswered} or {@link
 * HoldFailed}.
 *
 * @param number number of the call; a later call has a higher number
 * @param minionIncarnation incarnation of the minion that the call is for
 * @param fence fence of the call, at least that of the holder whom the agent obeys, and higher than
 *     that of any call to a former incarnation of the minion
 * @param acknowledgedThrough sequence number up to which the minion may drop its ended runs
 * @param deadlineMillis time on the minion's clock until which its runs may continue; 0 leaves the
 *     deadline unchanged
 * @param maxWait maximum time for which the minion waits for the end of a run before it answers
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
