/** The command line client {@code cassia} and its commands. */
@NullMarked
package org.cassiastack.daemon.command;

import org.jspecify.annotations.NullMarked;
