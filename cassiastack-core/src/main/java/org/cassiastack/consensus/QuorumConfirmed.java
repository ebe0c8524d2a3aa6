package org.cassiastack.consensus;

import java.time.Instant;
import org.cassiastack.controller.Event;

/**
 * A quorum has confirmed that this member led at a moment, and every command that was committed
 * before it has been applied here. Raised by the leader for each round of heartbeats that a quorum
 * answered, and not before it has committed a command of its own term.
 *
 * @param sentAt when the round was sent, by the clock of this member
 * @since 0.1
 */
public record QuorumConfirmed(Instant sentAt) implements Event {}
