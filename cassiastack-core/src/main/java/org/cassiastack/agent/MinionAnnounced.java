package org.cassiastack.agent;

import org.cassiastack.controller.Event;
import org.cassiastack.runs.MinionProfile;

/**
 * Event: the minion has announced itself to its agent.
 *
 * @param profile what the minion states about itself
 * @param sequence number of the announcement within the incarnation of the minion; an announcement
 *     with a lower number is outdated
 * @since 0.2
 */
public record MinionAnnounced(MinionProfile profile, long sequence) implements Event {}
