/** Filters of the library. */
@NullMarked
package org.cassiastack.filter.internal;

import org.jspecify.annotations.NullMarked;
