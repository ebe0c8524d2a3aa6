/** Counters of the daemons, as the Prometheus client keeps them. */
@NullMarked
package org.cassiastack.daemon.metrics;

import org.jspecify.annotations.NullMarked;
