/**
 * Processes of the durable queues: control members, entries and agents. Their front ends (HTTP
 * APIs) are not part of this package.
 *
 * <ol>
 *   <li>{@link org.cassiastack.daemon.queue.ControlNode} stores the job ledger and may become the
 *       leader.
 *   <li>{@link org.cassiastack.daemon.queue.EntryNode} forwards callers' requests to the leader.
 *   <li>{@link org.cassiastack.daemon.queue.AgentNode} manages the runs of one minion for the
 *       leader.
 * </ol>
 */
@NullMarked
package org.cassiastack.daemon.queue;

import org.jspecify.annotations.NullMarked;
