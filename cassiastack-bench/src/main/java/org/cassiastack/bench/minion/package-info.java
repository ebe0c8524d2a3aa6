/** Stand-in minions for trials and tests. */
@NullMarked
package org.cassiastack.bench.minion;

import org.jspecify.annotations.NullMarked;
