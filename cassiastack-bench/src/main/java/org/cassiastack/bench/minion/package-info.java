/** Stand-in minions: test doubles that do no work, for benchmarks and tests. */
@NullMarked
package org.cassiastack.bench.minion;

import org.jspecify.annotations.NullMarked;
