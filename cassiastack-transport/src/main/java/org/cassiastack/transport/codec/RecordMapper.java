package org.cassiastack.transport.codec;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Maps records to MessagePack arrays of their components, for messages and for files.
 *
 * @since 0.1
 */
public final class RecordMapper {
  private RecordMapper() {}

  /** Makes a mapper; it is safe for several threads. */
  public static ObjectMapper create() {
    ObjectMapper mapper = new MessagePackMapper();
    mapper.setAnnotationIntrospector(new JsonArrayFormat());
    mapper.registerModule(ValueTypes.module());
    mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    return mapper;
  }
}
