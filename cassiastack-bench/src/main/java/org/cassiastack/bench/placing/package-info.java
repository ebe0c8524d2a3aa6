/** Benchmarks of the placing of tasks by the leader. */
@NullMarked
package org.cassiastack.bench.placing;

import org.jspecify.annotations.NullMarked;
