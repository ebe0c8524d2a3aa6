/** Prometheus metrics of the daemons. */
@NullMarked
package org.cassiastack.daemon.metrics;

import org.jspecify.annotations.NullMarked;
