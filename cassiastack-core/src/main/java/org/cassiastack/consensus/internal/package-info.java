/** Parts of a member of the replicated log: election, replication, admission and its log. */
@NullMarked
package org.cassiastack.consensus.internal;

import org.jspecify.annotations.NullMarked;
