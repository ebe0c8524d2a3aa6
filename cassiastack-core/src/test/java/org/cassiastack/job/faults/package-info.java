/** Jobs under seeded faults in virtual time. */
@NullMarked
package org.cassiastack.job.faults;

import org.jspecify.annotations.NullMarked;
