/** State behind the spread of configurations. */
@NullMarked
package org.cassiastack.spread.internal;

import org.jspecify.annotations.NullMarked;
