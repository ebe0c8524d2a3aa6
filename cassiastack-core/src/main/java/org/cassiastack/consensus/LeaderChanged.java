package org.cassiastack.consensus;

import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * The leader that this member knows of, or the member's term, has changed.
 *
 * @param term the member's term
 * @param leader node of the leader, or null while no leader is known or this member is a leader
 *     whose state machine is not up to date yet
 * @param leading whether this member is the leader and its state machine has applied every command
 *     that earlier leaders committed
 * @since 0.1
 */
public record LeaderChanged(long term, @Nullable NodeId leader, boolean leading) implements Event {}
