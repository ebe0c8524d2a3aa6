/**
 * Measures the propagation of configurations: how fast they reach all processes, how soon a drained
 * failure domain starts no more tasks, and how much traffic the freshness messages cause.
 */
@NullMarked
package org.cassiastack.bench.spread;

import org.jspecify.annotations.NullMarked;
