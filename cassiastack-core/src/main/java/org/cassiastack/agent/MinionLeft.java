package org.cassiastack.agent;

import org.cassiastack.controller.Event;
import org.cassiastack.model.MinionId;

/**
 * A minion has said that it ends now, with all that it runs.
 *
 * @param minion the minion
 * @since 0.2
 */
public record MinionLeft(MinionId minion) implements Event {}
