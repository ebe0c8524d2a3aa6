package org.cassiastack.guard;

import org.cassiastack.controller.Effect;
import org.cassiastack.protocol.Dispatch;

/**
 * Effect: starts a task at its minion. No other effect starts a task.
 *
 * @param dispatch the dispatch of the task, with the input
 * @since 0.1
 */
public record StartTask(Dispatch dispatch) implements Effect {}
