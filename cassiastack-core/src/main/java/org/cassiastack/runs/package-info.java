/** Runs of tasks on minions, and the messages about runs between the leader and the agents. */
@NullMarked
package org.cassiastack.runs;

import org.jspecify.annotations.NullMarked;
