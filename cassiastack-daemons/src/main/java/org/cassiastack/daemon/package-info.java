/** Main classes of the daemons and of the command line client. */
@NullMarked
package org.cassiastack.daemon;

import org.jspecify.annotations.NullMarked;
