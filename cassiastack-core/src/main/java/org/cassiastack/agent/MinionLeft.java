package org.cassiastack.agent;

import org.cassiastack.controller.Event;
import org.cassiastack.model.MinionId;

/**
 * Event: the minion has announced that it ends now, together with all its runs.
 *
 * @param minion identity of the minion
 * @since 0.2
 */
public record MinionLeft(MinionId minion) implements Event {}
