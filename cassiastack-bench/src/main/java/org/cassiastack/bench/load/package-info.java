/**
 * The load tool: sends jobs to a real system in a seeded open loop, in which arrivals do not depend
 * on earlier answers, and compares the measured job times with those of an ideal schedule.
 */
@NullMarked
package org.cassiastack.bench.load;

import org.jspecify.annotations.NullMarked;
