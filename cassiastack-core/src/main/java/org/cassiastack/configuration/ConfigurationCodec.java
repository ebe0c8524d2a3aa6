package org.cassiastack.configuration;

import org.cassiastack.model.Payload;
import org.jspecify.annotations.Nullable;

/**
 * Encodes what the replicated log and its snapshots hold of configurations.
 *
 * @since 0.1
 */
public interface ConfigurationCodec {
  /** Encodes a command. */
  Payload encodeCommand(ConfigurationCommand command);

  /** Encodes a state. */
  Payload encodeState(ConfigurationState state);

  /** Decodes a command, or returns null when the bytes are the command of another controller. */
  @Nullable ConfigurationCommand decodeCommand(Payload bytes);

  /** Decodes a state. */
  ConfigurationState decodeState(Payload bytes);
}
