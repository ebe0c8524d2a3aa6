/**
 * Measures how costs grow: processor time, memory and size of data as functions of the number of
 * agents, tasks, jobs, task starts and declared customers. The results are used in
 * docs/CAPACITY.md.
 */
@NullMarked
package org.cassiastack.bench.slopes;

import org.jspecify.annotations.NullMarked;
