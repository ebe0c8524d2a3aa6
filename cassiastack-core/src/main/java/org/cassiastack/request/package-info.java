/**
 * Requests of callers and operators to the leader, sent from any process. In metrics and result
 * codes this part of the system is called the desk.
 *
 * <ol>
 *   <li>A {@link org.cassiastack.request.LeaderRequest} is idempotent: it may be sent again to any
 *       leader.
 *   <li>{@link org.cassiastack.request.LeaderRequestController} holds each request until the leader
 *       has answered it or its deadline has passed.
 *   <li>A {@link org.cassiastack.request.RequestAnswer} reports the outcome of a request, or that
 *       the outcome is not known.
 * </ol>
 */
@NullMarked
package org.cassiastack.request;

import org.jspecify.annotations.NullMarked;
