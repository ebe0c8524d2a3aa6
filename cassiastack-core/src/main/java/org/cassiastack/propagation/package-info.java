/**
 * Propagation of configurations from the control members to every process, and the age of the
 * configuration there.
 */
@NullMarked
package org.cassiastack.propagation;

import org.jspecify.annotations.NullMarked;
