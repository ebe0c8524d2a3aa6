/** Simulations in virtual time that compare the ways in which a coordinator picks minions. */
@NullMarked
package org.cassiastack.bench.routing;

import org.jspecify.annotations.NullMarked;
