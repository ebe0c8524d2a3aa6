/** State of the tasks that the start guard remembers. */
@NullMarked
package org.cassiastack.guard.internal;

import org.jspecify.annotations.NullMarked;
