/**
 * Dispatch of jobs that need not be stored while no leader of the replicated log can be reached:
 * one entry in each failure domain then dispatches the jobs of the entries of its domain.
 */
@NullMarked
package org.cassiastack.fallback;

import org.jspecify.annotations.NullMarked;
