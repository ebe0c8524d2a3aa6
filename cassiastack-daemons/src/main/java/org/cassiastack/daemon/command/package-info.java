/** The command line. */
@NullMarked
package org.cassiastack.daemon.command;

import org.jspecify.annotations.NullMarked;
