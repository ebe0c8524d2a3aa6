/** Parts of a term of leadership: workers, jobs, placing and commits. */
@NullMarked
package org.cassiastack.schedule.internal;

import org.jspecify.annotations.NullMarked;
