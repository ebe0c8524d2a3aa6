package org.cassiastack.consensus;

import java.time.Instant;
import org.cassiastack.controller.Event;

/**
 * This member is the leader and no other member can be elected before {@code until}, so until then
 * the local state machine may be read without asking the other members. The lease ends early with
 * the next {@link LeaderChanged} that has another leader or none.
 *
 * @param term term of the leader
 * @param until end of the lease by this member's clock
 * @since 0.1
 */
public record LeaseExtended(long term, Instant until) implements Event {}
