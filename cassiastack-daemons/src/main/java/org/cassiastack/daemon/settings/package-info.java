/** Settings of the processes and the declarative files, both in INI. */
@NullMarked
package org.cassiastack.daemon.settings;

import org.jspecify.annotations.NullMarked;
