/** Messages between the processes of the system, independent of their encoding. */
@NullMarked
package org.cassiastack.protocol;

import org.jspecify.annotations.NullMarked;
