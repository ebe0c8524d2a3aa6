package org.cassiastack.transport.codec;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import org.cassiastack.configuration.ChangeId;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ConfigurationCodec;
import org.cassiastack.configuration.ConfigurationCommand;
import org.cassiastack.configuration.ConfigurationDelta;
import org.cassiastack.configuration.ConfigurationState;
import org.cassiastack.configuration.DecidedChange;
import org.cassiastack.model.Payload;
import org.cassiastack.model.Revision;
import org.jspecify.annotations.Nullable;

/**
 * Encodes configurations as MessagePack for the replicated log and its snapshots. An encoded
 * command begins with {@link #COMMAND_KIND}; an encoded state has no such prefix.
 *
 * @since 0.1
 */
public final class MessagePackConfigurationCodec implements ConfigurationCodec {
  /**
   * First byte of each configuration command. Commands of other controllers in the same log begin
   * with another byte.
   */
  public static final byte COMMAND_KIND = 1;

  private final ObjectMapper mapper = RecordMapper.create();

  private MessagePackConfigurationCodec() {}

  /** Creates a codec; the codec is thread-safe. */
  public static MessagePackConfigurationCodec create() {
    return new MessagePackConfigurationCodec();
  }

  @Override
  public Payload encodeCommand(ConfigurationCommand c) {
    Command command = new Command(c.changeId(), c.base(), ConfigurationDelta.snapshot(c.content()));
    byte[] body = write(command);
    byte[] encoded = new byte[body.length + 1];
    encoded[0] = COMMAND_KIND;
    System.arraycopy(body, 0, encoded, 1, body.length);
    return Payload.wrap(encoded);
  }

  @Override
  public @Nullable ConfigurationCommand decodeCommand(Payload bytes) {
    byte[] encoded = bytes.toByteArray();
    if (encoded.length == 0 || encoded[0] != COMMAND_KIND) {
      return null;
    }
    Command c = read(Arrays.copyOfRange(encoded, 1, encoded.length), Command.class);
    return new ConfigurationCommand(c.changeId, c.base, c.content.applyTo(Configuration.EMPTY));
  }

  @Override
  public Payload encodeState(ConfigurationState s) {
    return Payload.wrap(write(new State(ConfigurationDelta.snapshot(s.inForce()), s.decided())));
  }

  @Override
  public ConfigurationState decodeState(Payload bytes) {
    State s = read(bytes.toByteArray(), State.class);
    return new ConfigurationState(s.inForce.applyTo(Configuration.EMPTY), s.decided);
  }

  private byte[] write(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (IOException e) {
      // Does not occur: records of strings and numbers can always be encoded.
      throw new UncheckedIOException(e);
    }
  }

  private <T> T read(byte[] bytes, Class<T> type) {
    try {
      return mapper.readValue(bytes, type);
    } catch (IOException e) {
      // The log verifies checksums, so the bytes are intact, but they were written by a version
      // whose format this process does not know.
      throw new UncheckedIOException(e);
    }
  }

  private record Command(ChangeId changeId, Revision base, ConfigurationDelta content) {}

  private record State(ConfigurationDelta inForce, List<DecidedChange> decided) {}
}
