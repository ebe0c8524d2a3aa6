/** Coordination of jobs: dispatch of tasks, assembly of answers, retention of answers. */
@NullMarked
package org.cassiastack.job;

import org.jspecify.annotations.NullMarked;
