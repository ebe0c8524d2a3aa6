/** The entry daemon. */
@NullMarked
package org.cassiastack.daemon.entry;

import org.jspecify.annotations.NullMarked;
