package org.cassiastack.consensus;

import java.time.Instant;
import org.cassiastack.controller.Event;

/**
 * A quorum has confirmed that this member was the leader at {@code sentAt}, and this member has
 * applied every command that was committed before that time. The event is raised on the leader
 * whenever the answers of a quorum confirm a later time than before, beginning once the leader has
 * committed an entry of its own term.
 *
 * @param sentAt the latest time such that a quorum has answered heartbeats or other messages that
 *     the leader sent at that time or later, by the clock of this member
 * @since 0.1
 */
public record QuorumConfirmed(Instant sentAt) implements Event {}
