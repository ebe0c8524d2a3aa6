/** Runs of tasks at minions, and what leader and agents tell each other of them. */
@NullMarked
package org.cassiastack.runs;

import org.jspecify.annotations.NullMarked;
