package org.cassiastack.consensus;

import org.cassiastack.controller.Event;

/**
 * This member is about to stop. If it leads, it gives up its lease and lets the follower that is
 * furthest ahead be elected at once; nobody waits for an election timeout.
 *
 * @since 0.2
 */
public record HandLeadershipOver() implements Event {}
