/** Whole systems on loopback, in one process or in many, for trials and tests. */
@NullMarked
package org.cassiastack.bench.local;

import org.jspecify.annotations.NullMarked;
