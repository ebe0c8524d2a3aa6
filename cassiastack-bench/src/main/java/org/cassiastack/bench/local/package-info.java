/** Complete systems on loopback addresses, in one process or several, for benchmarks and tests. */
@NullMarked
package org.cassiastack.bench.local;

import org.jspecify.annotations.NullMarked;
