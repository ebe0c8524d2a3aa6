/** State of jobs inside a coordinator. */
@NullMarked
package org.cassiastack.job.internal;

import org.jspecify.annotations.NullMarked;
