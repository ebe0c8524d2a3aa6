package org.cassiastack.configuration;

import java.util.ArrayList;
import java.util.List;
import org.cassiastack.model.Payload;

/** Keeps what it encodes and writes its number, so that tests need no encoding. */
public final class MemoryConfigurationCodec implements ConfigurationCodec {
  private final List<Object> values = new ArrayList<>();

  @Override
  public Payload encodeCommand(ConfigurationCommand command) {
    return number(command);
  }

  @Override
  public ConfigurationCommand decodeCommand(Payload bytes) {
    return (ConfigurationCommand) values.get(Integer.parseInt(bytes.toText()));
  }

  @Override
  public Payload encodeState(ConfigurationState state) {
    return number(state);
  }

  @Override
  public ConfigurationState decodeState(Payload bytes) {
    return (ConfigurationState) values.get(Integer.parseInt(bytes.toText()));
  }

  private Payload number(Object value) {
    values.add(value);
    return Payload.ofText(Integer.toString(values.size() - 1));
  }
}
