/**
 * Queues and their jobs, and the ledger of durable jobs: which queues exist, which jobs were
 * accepted and how they ended.
 *
 * <ol>
 *   <li>{@link org.cassiastack.queue.QueueConfiguration} determines the queue of a request.
 *   <li>{@link org.cassiastack.queue.JobLedger} is the state machine on the replicated log.
 *   <li>{@link org.cassiastack.queue.LedgerBatch} is one command of that log.
 * </ol>
 */
@NullMarked
package org.cassiastack.queue;

import org.jspecify.annotations.NullMarked;
