/**
 * Scheduling by the elected leader: accepts jobs, places their tasks on workers and answers
 * requests of callers and operators.
 *
 * <ol>
 *   <li>{@link org.cassiastack.schedule.LeaderController} connects the replicated log with the
 *       leader's scheduling.
 *   <li>A new leader reads jobs and ended tasks from the ledger, and learns of the runs from the
 *       agents' reports.
 *   <li>A new leader starts no task until every agent that might have runs has reported, or until
 *       the leases that earlier leaders granted have expired. Otherwise a task could run twice at
 *       the same time.
 * </ol>
 */
@NullMarked
package org.cassiastack.schedule;

import org.jspecify.annotations.NullMarked;
