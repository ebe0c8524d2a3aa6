/** The entry daemon, which accepts jobs from callers and coordinates them. */
@NullMarked
package org.cassiastack.daemon.entry;

import org.jspecify.annotations.NullMarked;
