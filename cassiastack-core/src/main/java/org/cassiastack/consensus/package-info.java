/** Replicated log of the control members: proposals, commits, snapshots and the leader. */
@NullMarked
package org.cassiastack.consensus;

import org.jspecify.annotations.NullMarked;
