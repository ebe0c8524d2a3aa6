/** The command {@code quickstart}: a complete system in one process, to try out the software. */
@NullMarked
package org.cassiastack.bench.quickstart;

import org.jspecify.annotations.NullMarked;
