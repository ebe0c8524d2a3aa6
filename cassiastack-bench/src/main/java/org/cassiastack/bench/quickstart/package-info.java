/** The command {@code quickstart}: a complete system in one process, for first trials. */
@NullMarked
package org.cassiastack.bench.quickstart;

import org.jspecify.annotations.NullMarked;
