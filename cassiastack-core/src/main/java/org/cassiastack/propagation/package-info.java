/** Propagation of configurations from the control members to every process, and their age. */
@NullMarked
package org.cassiastack.propagation;

import org.jspecify.annotations.NullMarked;
