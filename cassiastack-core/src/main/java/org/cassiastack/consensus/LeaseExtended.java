package org.cassiastack.consensus;

import java.time.Instant;
import org.cassiastack.controller.Event;

/**
 * This member leads and no other member can be elected before a time, so until then its state
 * machine may be read without asking the others. The lease ends early with the next {@link
 * LeaderChanged} that names another leader or none.
 *
 * @param term term of the leader
 * @param until end of the lease by this member's clock
 * @since 0.1
 */
public record LeaseExtended(long term, Instant until) implements Event {}
