/** State of the propagation of configurations. */
@NullMarked
package org.cassiastack.propagation.internal;

import org.jspecify.annotations.NullMarked;
