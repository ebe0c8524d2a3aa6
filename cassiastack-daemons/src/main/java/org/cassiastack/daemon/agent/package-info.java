/** The agent daemon, which runs tasks at its minions. */
@NullMarked
package org.cassiastack.daemon.agent;

import org.jspecify.annotations.NullMarked;
