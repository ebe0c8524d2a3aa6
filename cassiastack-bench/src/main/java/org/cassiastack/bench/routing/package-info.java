/** Virtual-time trials of the coordinator's routing on a small fake of minions. */
@NullMarked
package org.cassiastack.bench.routing;

import org.jspecify.annotations.NullMarked;
