/** Messages between the processes of the system, free of any encoding. */
@NullMarked
package org.cassiastack.protocol;

import org.jspecify.annotations.NullMarked;
