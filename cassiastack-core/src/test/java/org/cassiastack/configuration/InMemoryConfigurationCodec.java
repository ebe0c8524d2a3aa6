package org.cassiastack.configuration;

import org.cassiastack.model.Payload;
import org.cassiastack.model.PayloadValueStore;

/** Stores each value in memory and encodes it as its key, so that tests need no wire format. */
public final class InMemoryConfigurationCodec implements ConfigurationCodec {
  private final PayloadValueStore values = new PayloadValueStore();

  @Override
  public Payload encodeCommand(ConfigurationCommand command) {
    return values.store(command);
  }

  @Override
  public ConfigurationCommand decodeCommand(Payload bytes) {
    return (ConfigurationCommand) values.load(bytes);
  }

  @Override
  public Payload encodeState(ConfigurationState state) {
    return values.store(state);
  }

  @Override
  public ConfigurationState decodeState(Payload bytes) {
    return (ConfigurationState) values.load(bytes);
  }
}
