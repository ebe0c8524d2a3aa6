/** Task records, slots and queues of the start guard. */
@NullMarked
package org.cassiastack.guard.internal;

import org.jspecify.annotations.NullMarked;
