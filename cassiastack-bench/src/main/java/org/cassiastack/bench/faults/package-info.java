/** Fault-injection trials: processes are killed and paused under load. */
@NullMarked
package org.cassiastack.bench.faults;

import org.jspecify.annotations.NullMarked;
