package org.cassiastack.consensus;

import org.cassiastack.controller.Event;

/**
 * This member is about to stop. If it is the leader, it gives up its lease and asks the most
 * up-to-date of the responsive voters to start an election at once, so that the members need not
 * wait for an election timeout. It remains the leader if no other voter is responsive.
 *
 * @since 0.2
 */
public record HandLeadershipOver() implements Event {}
