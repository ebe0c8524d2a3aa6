/** Trials with processes that are killed and frozen under load. */
@NullMarked
package org.cassiastack.bench.faults;

import org.jspecify.annotations.NullMarked;
