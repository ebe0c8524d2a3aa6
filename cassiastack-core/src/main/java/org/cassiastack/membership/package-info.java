/** Agents and minions known to a process, and the leases of the agents. */
@NullMarked
package org.cassiastack.membership;

import org.jspecify.annotations.NullMarked;
