/**
 * What callers and operators ask of the leader, from any process.
 *
 * <ol>
 *   <li>A {@link org.cassiastack.desk.LeaderRequest} may be sent again to any leader without harm.
 *   <li>{@link org.cassiastack.desk.DeskController} keeps requests until the leader answers.
 *   <li>A {@link org.cassiastack.desk.DeskAnswer} says what is true, or that it is not known.
 * </ol>
 */
@NullMarked
package org.cassiastack.desk;

import org.jspecify.annotations.NullMarked;
