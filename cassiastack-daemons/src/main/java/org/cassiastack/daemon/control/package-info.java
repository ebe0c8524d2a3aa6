/** Connects the controllers of a control member to their storage. */
@NullMarked
package org.cassiastack.daemon.control;

import org.jspecify.annotations.NullMarked;
