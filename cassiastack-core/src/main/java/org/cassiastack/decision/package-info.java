/** What controllers decided and why, for the log and for counters. */
@NullMarked
package org.cassiastack.decision;

import org.jspecify.annotations.NullMarked;
