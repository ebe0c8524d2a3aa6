/** Property tests of jobs under seeded random faults in virtual time. */
@NullMarked
package org.cassiastack.job.faults;

import org.jspecify.annotations.NullMarked;
