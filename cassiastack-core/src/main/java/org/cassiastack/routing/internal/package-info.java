/** Implementations of the minion pickers, and the moving mean of run times. */
@NullMarked
package org.cassiastack.routing.internal;

import org.jspecify.annotations.NullMarked;
