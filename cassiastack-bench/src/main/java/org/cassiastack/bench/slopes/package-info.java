/**
 * Slopes of cost: processor time, memory and bytes against the number of agents, tasks, jobs and
 * declared customers, for docs/CAPACITY.md.
 */
@NullMarked
package org.cassiastack.bench.slopes;

import org.jspecify.annotations.NullMarked;
