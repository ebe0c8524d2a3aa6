/** Assembly of the controllers of a control member with their storage. */
@NullMarked
package org.cassiastack.daemon.control;

import org.jspecify.annotations.NullMarked;
