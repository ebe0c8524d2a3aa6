/** Replicated log of the control members: what is proposed, committed and restored. */
@NullMarked
package org.cassiastack.consensus;

import org.jspecify.annotations.NullMarked;
