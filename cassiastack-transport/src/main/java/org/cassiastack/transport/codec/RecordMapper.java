package org.cassiastack.transport.codec;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Creates mappers that encode records as MessagePack arrays of their components. Messages and
 * stored files use this encoding.
 *
 * @since 0.1
 */
public final class RecordMapper {
  private RecordMapper() {}

  /** Creates a mapper; the mapper is thread-safe. */
  public static ObjectMapper create() {
    ObjectMapper mapper = new MessagePackMapper();
    mapper.setAnnotationIntrospector(new JsonArrayFormat());
    mapper.registerModule(ValueTypes.module());
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    return mapper;
  }
}
