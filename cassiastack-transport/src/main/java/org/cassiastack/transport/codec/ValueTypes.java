package org.cassiastack.transport.codec;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.Module;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.UUID;
import org.cassiastack.model.Payload;

/**
 * Compact encodings of value types: {@link UUID} and {@link Payload} as binary data, {@link
 * Instant} and {@link Duration} as whole numbers of microseconds, an instant since the Unix epoch.
 */
final class ValueTypes {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long NANOS_PER_MICRO = 1_000;
  private static final int UUID_BYTES = 16;

  private ValueTypes() {}

  static Module module() {
    SimpleModule m = new SimpleModule("cassiastack");
    register(m, UUID.class, (v, g) -> g.writeBinary(toBytes(v)), p -> readUuid(p));
    register(m, Payload.class, ValueTypes::write, p -> Payload.wrap(p.getBinaryValue()));
    register(
        m, Instant.class, (v, g) -> g.writeNumber(toMicros(v)), p -> toInstant(p.getLongValue()));
    register(
        m,
        Duration.class,
        (v, g) -> g.writeNumber(v.toNanos() / NANOS_PER_MICRO),
        p -> Duration.ofNanos(Math.multiplyExact(p.getLongValue(), NANOS_PER_MICRO)));
    return m;
  }

  private static void write(Payload payload, JsonGenerator generator) throws IOException {
    generator.writeBinary(payload.toByteArray());
  }

  private static byte[] toBytes(UUID v) {
    ByteBuffer b = ByteBuffer.allocate(UUID_BYTES);
    b.putLong(v.getMostSignificantBits());
    b.putLong(v.getLeastSignificantBits());
    return b.array();
  }

  private static UUID readUuid(JsonParser p) throws IOException {
    byte[] bytes = p.getBinaryValue();
    if (bytes.length != UUID_BYTES) {
      throw InvalidFormatException.from(p, "a UUID must have 16 bytes", bytes.length, UUID.class);
    }
    ByteBuffer b = ByteBuffer.wrap(bytes);
    return new UUID(b.getLong(), b.getLong());
  }

  private static long toMicros(Instant v) {
    return v.getEpochSecond() * MICROS_PER_SECOND + v.getNano() / NANOS_PER_MICRO;
  }

  private static Instant toInstant(long micros) {
    long seconds = Math.floorDiv(micros, MICROS_PER_SECOND);
    return Instant.ofEpochSecond(
        seconds, Math.floorMod(micros, MICROS_PER_SECOND) * NANOS_PER_MICRO);
  }

  private static <T> void register(
      SimpleModule m, Class<T> type, Writer<T> writer, Reader<T> reader) {
    m.addSerializer(
        type,
        new JsonSerializer<T>() {
          @Override
          public void serialize(T value, JsonGenerator generator, SerializerProvider provider)
              throws IOException {
            writer.write(value, generator);
          }
        });
    m.addDeserializer(
        type,
        new JsonDeserializer<T>() {
          @Override
          public T deserialize(JsonParser parser, DeserializationContext context)
              throws IOException {
            return reader.read(parser);
          }
        });
  }

  @FunctionalInterface
  private interface Writer<T> {
    void write(T value, JsonGenerator generator) throws IOException;
  }

  @FunctionalInterface
  private interface Reader<T> {
    T read(JsonParser parser) throws IOException;
  }
}
