package org.cassiastack.consensus;

import org.cassiastack.controller.Event;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * What this member knows of the leader has changed.
 *
 * @param term term of the election
 * @param leader the member that leads, or null while none is known
 * @param leading whether this member leads
 * @since 0.1
 */
public record LeaderChanged(long term, @Nullable NodeId leader, boolean leading) implements Event {}
