package org.cassiastack.configuration;

import org.cassiastack.model.Payload;
import org.jspecify.annotations.Nullable;

/**
 * Encodes the commands and the snapshots of {@link ConfigurationStore} for the replicated log.
 *
 * @since 0.1
 */
public interface ConfigurationCodec {
  /** Encodes a command for the log. */
  Payload encodeCommand(ConfigurationCommand command);

  /** Encodes the state of a store for a snapshot. */
  Payload encodeState(ConfigurationState state);

  /**
   * Decodes a command. Returns null if the bytes are a command of another controller that uses the
   * same log.
   */
  @Nullable ConfigurationCommand decodeCommand(Payload bytes);

  /** Decodes the state of a store from a snapshot. */
  ConfigurationState decodeState(Payload bytes);
}
