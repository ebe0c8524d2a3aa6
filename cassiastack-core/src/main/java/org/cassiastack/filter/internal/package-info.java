/** Implementations of the request filters. */
@NullMarked
package org.cassiastack.filter.internal;

import org.jspecify.annotations.NullMarked;
