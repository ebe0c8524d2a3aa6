/** Benchmarks of the storage of the replicated log. */
@NullMarked
package org.cassiastack.bench.consensus;

import org.jspecify.annotations.NullMarked;
