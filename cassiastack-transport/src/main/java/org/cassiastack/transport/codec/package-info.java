/** MessagePack encoding of the messages between processes and of the replicated log. */
@NullMarked
package org.cassiastack.transport.codec;

import org.jspecify.annotations.NullMarked;
