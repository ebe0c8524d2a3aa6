package org.cassiastack.transport.codec;

import java.io.IOException;

/**
 * Bytes that are no message, or a message that cannot be encoded.
 *
 * @since 0.1
 */
public final class MalformedMessageException extends IOException {
  /** Makes an exception. */
  public MalformedMessageException(String message) {
    super(message);
  }

  /** Makes an exception with the cause that the codec gave. */
  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
