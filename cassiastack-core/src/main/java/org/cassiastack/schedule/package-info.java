/**
 * The leader's work: which job is accepted, which task starts where, and what is told to callers.
 *
 * <ol>
 *   <li>{@link org.cassiastack.schedule.LeaderController} joins the replicated log with the rest.
 *   <li>A term of leadership knows jobs and ends from the log, and runs from the agents' reports.
 *   <li>Nothing starts before every agent that might hold runs has reported or lost its lease.
 * </ol>
 */
@NullMarked
package org.cassiastack.schedule;

import org.jspecify.annotations.NullMarked;
