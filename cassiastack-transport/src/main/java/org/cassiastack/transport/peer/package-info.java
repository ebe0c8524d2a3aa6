/** Framed TCP connections between the processes of the system. */
@NullMarked
package org.cassiastack.transport.peer;

import org.jspecify.annotations.NullMarked;
