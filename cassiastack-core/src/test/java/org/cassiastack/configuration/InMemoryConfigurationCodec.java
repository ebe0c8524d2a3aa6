package org.cassiastack.configuration;

import org.cassiastack.model.Payload;
import org.cassiastack.model.RememberedValues;

/** Keeps what it encodes and writes its number, so that tests need no encoding. */
public final class InMemoryConfigurationCodec implements ConfigurationCodec {
  private final RememberedValues values = new RememberedValues();

  @Override
  public Payload encodeCommand(ConfigurationCommand command) {
    return values.remember(command);
  }

  @Override
  public ConfigurationCommand decodeCommand(Payload bytes) {
    return (ConfigurationCommand) values.recall(bytes);
  }

  @Override
  public Payload encodeState(ConfigurationState state) {
    return values.remember(state);
  }

  @Override
  public ConfigurationState decodeState(Payload bytes) {
    return (ConfigurationState) values.recall(bytes);
  }
}
