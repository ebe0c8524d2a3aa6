package org.cassiastack.agent;

import org.cassiastack.controller.Effect;
import org.cassiastack.runs.MinionIncarnation;
import org.cassiastack.runs.RunId;

/**
 * The effect of asking the minion to stop a run; answered by {@link StopAnswered}.
 *
 * @param minionIncarnation the life of the minion that is meant
 * @param run the run
 * @param fence fence of the leader that ordered it
 * @since 0.2
 */
public record CallStop(MinionIncarnation minionIncarnation, RunId run, long fence)
    implements Effect {}
