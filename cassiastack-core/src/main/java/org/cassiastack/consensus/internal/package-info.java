/**
 * Parts of a member of the replicated log: elections, replication, member changes and the log
 * itself.
 */
@NullMarked
package org.cassiastack.consensus.internal;

import org.jspecify.annotations.NullMarked;
