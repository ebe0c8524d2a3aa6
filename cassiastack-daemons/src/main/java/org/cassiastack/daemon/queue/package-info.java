/**
 * Processes of the durable queues: entries, control members and agents, without any front end.
 *
 * <ol>
 *   <li>{@link org.cassiastack.daemon.queue.ControlNode} keeps the ledger and may lead.
 *   <li>{@link org.cassiastack.daemon.queue.EntryNode} hands callers' requests to the leader.
 *   <li>{@link org.cassiastack.daemon.queue.AgentNode} runs one minion.
 * </ol>
 */
@NullMarked
package org.cassiastack.daemon.queue;

import org.jspecify.annotations.NullMarked;
