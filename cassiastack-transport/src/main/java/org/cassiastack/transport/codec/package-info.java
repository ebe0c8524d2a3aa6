/** MessagePack encoding of the messages between processes. */
@NullMarked
package org.cassiastack.transport.codec;

import org.jspecify.annotations.NullMarked;
