/** Records of what controllers decided and why, for the log and for metrics. */
@NullMarked
package org.cassiastack.decision;

import org.jspecify.annotations.NullMarked;
