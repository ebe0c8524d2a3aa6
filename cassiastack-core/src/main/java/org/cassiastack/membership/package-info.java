/** Agents and minions known to a process, and the leases that keep them known. */
@NullMarked
package org.cassiastack.membership;

import org.jspecify.annotations.NullMarked;
