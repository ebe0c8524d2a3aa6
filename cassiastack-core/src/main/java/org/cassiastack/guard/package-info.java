/** The agent's start guard: the only place where a task starts. */
@NullMarked
package org.cassiastack.guard;

import org.jspecify.annotations.NullMarked;
