package org.cassiastack.guard;

import org.cassiastack.controller.Effect;
import org.cassiastack.protocol.Dispatch;

/**
 * The effect of starting a task at its minion; the only one that starts anything.
 *
 * @param dispatch the task with its input
 * @since 0.1
 */
public record StartTask(Dispatch dispatch) implements Effect {}
