package org.cassiastack.consensus;

import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * The leader that this member knows of has changed.
 *
 * @param term the member's term
 * @param leader node of the leader, or null while no leader is known
 * @param leading whether this member is the leader and its state machine is up to date
 * @since 0.1
 */
public record LeaderChanged(long term, @Nullable NodeId leader, boolean leading) implements Event {}
