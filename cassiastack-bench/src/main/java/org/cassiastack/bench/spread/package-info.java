/** Measures how fast configurations spread, how drains hold, and what freshness costs. */
@NullMarked
package org.cassiastack.bench.spread;

import org.jspecify.annotations.NullMarked;
