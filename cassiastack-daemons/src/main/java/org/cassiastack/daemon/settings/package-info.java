/**
 * Readers of the settings of the daemons and of the declarative configuration, both in INI format.
 */
@NullMarked
package org.cassiastack.daemon.settings;

import org.jspecify.annotations.NullMarked;
