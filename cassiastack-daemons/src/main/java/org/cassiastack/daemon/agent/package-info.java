/** The agent daemon. */
@NullMarked
package org.cassiastack.daemon.agent;

import org.jspecify.annotations.NullMarked;
