/**
 * What callers and operators ask of the leader, from any process.
 *
 * <ol>
 *   <li>A {@link org.cassiastack.request.LeaderRequest} may be sent again to any leader without
 *       harm.
 *   <li>{@link org.cassiastack.request.LeaderRequestController} keeps requests until the leader
 *       answers.
 *   <li>A {@link org.cassiastack.request.RequestAnswer} says what is true, or that it is not known.
 * </ol>
 */
@NullMarked
package org.cassiastack.request;

import org.jspecify.annotations.NullMarked;
