/** Selection of the minion that runs a task. */
@NullMarked
package org.cassiastack.routing;

import org.jspecify.annotations.NullMarked;
