package org.cassiastack.agent;

import org.cassiastack.controller.Event;
import org.cassiastack.runs.RunId;

/**
 * Event: the outcome of a {@link CallStop}. A minion that has accepted a stop never starts the run
 * afterwards, even if it did not have the run.
 *
 * @param run the run
 * @param accepted whether the minion has accepted the stop
 * @since 0.2
 */
public record StopAnswered(RunId run, boolean accepted) implements Event {}
