/**
 * The load tool: seeded open-loop arrivals against a real system, with the measured response times
 * beside those of an ideal schedule.
 */
@NullMarked
package org.cassiastack.bench.load;

import org.jspecify.annotations.NullMarked;
