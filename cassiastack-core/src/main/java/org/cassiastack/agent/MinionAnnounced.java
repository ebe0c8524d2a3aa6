package org.cassiastack.agent;

import org.cassiastack.controller.Event;
import org.cassiastack.runs.MinionProfile;

/**
 * A minion has told its agent about itself.
 *
 * @param profile what it says
 * @param sequence number of the announcement in the life of the minion; a lower one is outdated
 * @param clockMillis the minion's clock when it spoke
 * @since 0.2
 */
public record MinionAnnounced(MinionProfile profile, long sequence, long clockMillis)
    implements Event {}
