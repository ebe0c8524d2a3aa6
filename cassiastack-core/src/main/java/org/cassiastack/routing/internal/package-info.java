/** Pickers of the library. */
@NullMarked
package org.cassiastack.routing.internal;

import org.jspecify.annotations.NullMarked;
