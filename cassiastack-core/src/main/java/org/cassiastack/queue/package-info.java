/**
 * Jobs that outlive any process: what queues exist, which jobs were accepted and how they ended.
 *
 * <ol>
 *   <li>{@link org.cassiastack.queue.QueueConfiguration} says which queue a request is for.
 *   <li>{@link org.cassiastack.queue.JobLedger} is the state machine on the replicated log.
 *   <li>{@link org.cassiastack.queue.LedgerBatch} is one command of that log.
 * </ol>
 */
@NullMarked
package org.cassiastack.queue;

import org.jspecify.annotations.NullMarked;
