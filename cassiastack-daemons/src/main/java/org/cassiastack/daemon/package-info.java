/** Mains of the daemons and of the command line. */
@NullMarked
package org.cassiastack.daemon;

import org.jspecify.annotations.NullMarked;
