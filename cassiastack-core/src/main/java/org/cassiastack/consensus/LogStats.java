package org.cassiastack.consensus;

import org.cassiastack.controller.Effect;

/**
 * Effect that reports the size of a member's log in memory, whenever entries have been committed.
 *
 * @param entries number of entries after the snapshot
 * @param bytes size of the commands of these entries
 * @param snapshotBytes size of the state in the snapshot; 0 without one
 * @since 0.2
 */
public record LogStats(long entries, long bytes, long snapshotBytes) implements Effect {}
