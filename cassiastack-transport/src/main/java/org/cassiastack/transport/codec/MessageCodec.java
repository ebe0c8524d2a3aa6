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
 * Turns messages into bytes and back.
 *
 * <p>A message is two bytes of type number, then the components of its record as a MessagePack
 * array in order of declaration.
 *
 * <pre>{@code
 * byte[] bytes = codec.encode(message);
 * Message same = codec.decode(bytes);
 * }</pre>
 *
 * @since 0.1
 */
public final class MessageCodec {
  private static final int TYPE_BYTES = 2;

  // Made at the first message of a type: a process uses few types, and making all of them delays
  // each start.
  private final Map<MessageType, ObjectReader> readers = new ConcurrentHashMap<>();
  private final Map<MessageType, ObjectWriter> writers = new ConcurrentHashMap<>();
  private final ObjectMapper mapper = RecordMapper.create();

  private MessageCodec() {}

  /** Makes a codec for every message of {@link MessageType}; it is safe for several threads. */
  public static MessageCodec create() {
    return new MessageCodec();
  }

  /**
   * Encodes a message.
   *
   * @throws MalformedMessageException when the type of the message is not registered
   */
  public byte[] encode(Message message) throws MalformedMessageException {
    MessageType type = MessageType.of(message);
    if (type == null) {
      throw new MalformedMessageException("message type not registered: " + message.getClass());
    }
    ObjectWriter writer = writers.computeIfAbsent(type, t -> mapper.writerFor(t.messageClass()));
    try {
      byte[] body = writer.writeValueAsBytes(message);
      ByteBuffer all = ByteBuffer.allocate(TYPE_BYTES + body.length);
      all.putShort((short) type.number());
      all.put(body);
      return all.array();
    } catch (IOException e) {
      throw new MalformedMessageException("message cannot be encoded", e);
    }
  }

  /**
   * Decodes a message.
   *
   * @param bytes what {@link #encode} gave
   * @throws MalformedMessageException when the bytes are no message
   */
  public Message decode(byte[] bytes) throws MalformedMessageException {
    if (bytes.length < TYPE_BYTES) {
      throw new MalformedMessageException("message of " + bytes.length + " bytes");
    }
    int number = ByteBuffer.wrap(bytes).getShort();
    MessageType type = MessageType.of(number);
    if (type == null) {
      throw new MalformedMessageException("unknown message type " + number);
    }
    ObjectReader reader = readers.computeIfAbsent(type, t -> mapper.readerFor(t.messageClass()));
    try {
      checkLength(bytes);
      Message m = reader.readValue(bytes, TYPE_BYTES, bytes.length - TYPE_BYTES);
      if (m == null) {
        throw new MalformedMessageException("empty message of type " + number);
      }
      return m;
    } catch (IOException | MessagePackException e) {
      throw new MalformedMessageException("message of type " + number + " cannot be read", e);
    }
  }

  /** Refuses bytes behind the one value; the parser leaves them unread without a word. */
  private static void checkLength(byte[] bytes) throws IOException {
    int length = bytes.length - TYPE_BYTES;
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes, TYPE_BYTES, length)) {
      unpacker.skipValue();
      if (unpacker.getTotalReadBytes() != length) {
        throw new MalformedMessageException("bytes behind the message");
      }
    }
  }
}
