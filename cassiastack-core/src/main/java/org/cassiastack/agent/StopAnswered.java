package org.cassiastack.agent;

import org.cassiastack.controller.Event;
import org.cassiastack.runs.RunId;

/**
 * What became of a {@link CallStop}. A minion that has taken it never starts the run any more, also
 * when the run was not there.
 *
 * @param run the run
 * @param accepted whether the minion has taken it
 * @since 0.2
 */
public record StopAnswered(RunId run, boolean accepted) implements Event {}
