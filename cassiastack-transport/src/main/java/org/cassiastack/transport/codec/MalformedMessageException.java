package org.cassiastack.transport.codec;

import java.io.IOException;

/**
 * Thrown if bytes are not a valid message, or if a message cannot be encoded.
 *
 * @since 0.1
 */
public final class MalformedMessageException extends IOException {
  /** Creates an exception without a cause. */
  public MalformedMessageException(String message) {
    super(message);
  }

  /** Creates an exception with the cause that the codec reported. */
  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
