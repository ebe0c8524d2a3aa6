package org.cassiastack.agent;

import org.cassiastack.controller.Effect;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.RunId;

/**
 * Effect: calls the minion to stop a run. The result is {@link StopAnswered}.
 *
 * @param minionIncarnation incarnation of the minion that the call is for
 * @param run the run to stop
 * @param fence fence of the call, at least that of the holder whom the agent obeys, and higher than
 *     that of any call to a former incarnation of the minion
 * @since 0.2
 */
public record CallStop(MinionIncarnation minionIncarnation, RunId run, long fence)
    implements Effect {}
