package org.cassiastack.consensus;

import java.time.Instant;
import org.cassiastack.controller.Event;

/**
 * A quorum has confirmed that this member was the leader at {@code sentAt}, and this member has
 * applied every command that was committed before that time. The leader raises this event for each
 * round of heartbeats that a quorum answered, once it has committed an entry of its own term.
 *
 * @param sentAt when the round of heartbeats was sent, by the clock of this member
 * @since 0.1
 */
public record QuorumConfirmed(Instant sentAt) implements Event {}
