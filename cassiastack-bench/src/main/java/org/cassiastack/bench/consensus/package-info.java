/** Measurements of the replicated log and its storage. */
@NullMarked
package org.cassiastack.bench.consensus;

import org.jspecify.annotations.NullMarked;
