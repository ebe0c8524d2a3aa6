/** State of jobs, tasks and minions inside a coordinator. */
@NullMarked
package org.cassiastack.job.internal;

import org.jspecify.annotations.NullMarked;
