package org.cassiastack.transport.codec;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cassiastack.protocol.Message;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes messages as bytes and decodes them.
 *
 * <p>An encoded message consists of the two-byte number of its {@link MessageType}, followed by the
 * components of its record as a MessagePack array, in declaration order.
 *
 * <pre>{@code
 * byte[] bytes = codec.encode(message);
 * Message decoded = codec.decode(bytes);
 * }</pre>
 *
 * @since 0.1
 */
public final class MessageCodec {
  private static final int TYPE_BYTES = 2;

  // Readers and writers are created when a message type is first used: a process uses few types,
  // and creating the readers and writers of all types would delay the start of each process.
  private final Map<MessageType, ObjectReader> readers = new ConcurrentHashMap<>();
  private final Map<MessageType, ObjectWriter> writers = new ConcurrentHashMap<>();
  private final ObjectMapper mapper = RecordMapper.create();

  private MessageCodec() {}

  /** Creates a codec for every message of {@link MessageType}; the codec is thread-safe. */
  public static MessageCodec create() {
    return new MessageCodec();
  }

  /**
   * Encodes a message.
   *
   * @throws MalformedMessageException if {@link MessageType} does not contain the class of the
   *     message, or if the message cannot be encoded
   */
  public byte[] encode(Message message) throws MalformedMessageException {
    MessageType type = MessageType.of(message);
    if (type == null) {
      throw new MalformedMessageException("message class not registered: " + message.getClass());
    }
    ObjectWriter writer = writers.computeIfAbsent(type, t -> mapper.writerFor(t.messageClass()));
    try {
      byte[] body = writer.writeValueAsBytes(message);
      ByteBuffer encoded = ByteBuffer.allocate(TYPE_BYTES + body.length);
      encoded.putShort((short) type.number());
      encoded.put(body);
      return encoded.array();
    } catch (IOException e) {
      throw new MalformedMessageException("message cannot be encoded", e);
    }
  }

  /**
   * Decodes a message.
   *
   * @param bytes an encoded message, as returned by {@link #encode}
   * @throws MalformedMessageException if the bytes are not a valid message
   */
  public Message decode(byte[] bytes) throws MalformedMessageException {
    if (bytes.length < TYPE_BYTES) {
      throw new MalformedMessageException(
          "message too short for its two-byte type number: " + bytes.length + " bytes");
    }
    int number = ByteBuffer.wrap(bytes).getShort();
    MessageType type = MessageType.of(number);
    if (type == null) {
      throw new MalformedMessageException("unknown message type " + number);
    }
    ObjectReader reader = readers.computeIfAbsent(type, t -> mapper.readerFor(t.messageClass()));
    try {
      rejectTrailingBytes(bytes);
      Message message = reader.readValue(bytes, TYPE_BYTES, bytes.length - TYPE_BYTES);
      if (message == null) {
        throw new MalformedMessageException(
            "null instead of the components of a message of type " + number);
      }
      return message;
    } catch (IOException | MessagePackException e) {
      throw new MalformedMessageException("message of type " + number + " cannot be decoded", e);
    }
  }

  /** Rejects bytes after the message, which the parser would silently leave unread. */
  private static void rejectTrailingBytes(byte[] bytes) throws IOException {
    int length = bytes.length - TYPE_BYTES;
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, TYPE_BYTES, length)) {
      unpacker.skipValue();
      if (unpacker.getTotalReadBytes() != length) {
        throw new MalformedMessageException("trailing bytes after the message");
      }
    }
  }
}
