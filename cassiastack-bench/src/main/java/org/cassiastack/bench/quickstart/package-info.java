/** A whole system in one process, to try out. */
@NullMarked
package org.cassiastack.bench.quickstart;

import org.jspecify.annotations.NullMarked;
