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
 * Writes configurations for the log and its snapshots: one byte of kind, then MessagePack.
 *
 * @since 0.1
 */
public final class MessagePackConfigurationCodec implements ConfigurationCodec {
  /** First byte of each configuration command; other controllers' commands begin otherwise. */
  public static final byte COMMAND_KIND = 1;

  private final ObjectMapper mapper = RecordMapper.create();

  private MessagePackConfigurationCodec() {}

  /** Makes a codec; it is safe for several threads. */
  public static MessagePackConfigurationCodec create() {
    return new MessagePackConfigurationCodec();
  }

  @Override
  public Payload encodeCommand(ConfigurationCommand c) {
    Command written = new Command(c.changeId(), c.base(), ConfigurationDelta.snapshot(c.content()));
    byte[] body = write(written);
    byte[] all = new byte[body.length + 1];
    all[0] = COMMAND_KIND;
    System.arraycopy(body, 0, all, 1, body.length);
    return Payload.wrap(all);
  }

  @Override
  public @Nullable ConfigurationCommand decodeCommand(Payload bytes) {
    byte[] all = bytes.toByteArray();
    if (all.length == 0 || all[0] != COMMAND_KIND) {
      return null;
    }
    Command c = read(Arrays.copyOfRange(all, 1, all.length), Command.class);
    return new ConfigurationCommand(c.change, c.base, c.content.applyTo(Configuration.EMPTY));
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
      // Records of texts and numbers can always be written.
      throw new UncheckedIOException(e);
    }
  }

  private <T> T read(byte[] bytes, Class<T> type) {
    try {
      return mapper.readValue(bytes, type);
    } catch (IOException e) {
      // The log checks its bytes, so these are of a version that this process does not know.
      throw new UncheckedIOException(e);
    }
  }

  private record Command(ChangeId change, Revision base, ConfigurationDelta content) {}

  private record State(ConfigurationDelta inForce, List<DecidedChange> decided) {}
}
