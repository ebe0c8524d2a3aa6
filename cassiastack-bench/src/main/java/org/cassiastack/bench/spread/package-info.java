/**
 * Measures the propagation of configurations: how fast they reach all processes, how soon no more
 * tasks start in a failure domain that was taken out of service, and how much traffic agents
 * without load cause, which includes the messages that confirm a configuration as current.
 */
@NullMarked
package org.cassiastack.bench.spread;

import org.jspecify.annotations.NullMarked;
