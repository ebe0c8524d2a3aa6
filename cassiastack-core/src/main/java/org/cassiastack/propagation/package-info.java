/**
 * Propagation of configurations from the control members to every process, and confirmation that
 * the configuration of a process is current.
 */
@NullMarked
package org.cassiastack.propagation;

import org.jspecify.annotations.NullMarked;
