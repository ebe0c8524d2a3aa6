package org.cassiastack.transport.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import org.cassiastack.configuration.ApplyResult;
import org.cassiastack.configuration.ChangeId;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusal;
import org.cassiastack.model.Refusals;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;
import org.jspecify.annotations.Nullable;

/** JSON of the operators' API on configurations. */
final class ConfigurationJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ConfigurationJson() {}

  static String writeChange(ChangeRequest r) {
    return write(new Change(r.changeId().toString(), r.base().value(), r.files()));
  }

  static ChangeRequest readChange(byte[] body) throws CassiaException {
    Change c = read(body, Change.class);
    if (c.changeId == null || c.base == null || c.files == null || c.files.isEmpty()) {
      throw CassiaException.of(Refusals.malformed("changeId, base and files must be given"));
    }
    try {
      return new ChangeRequest(
          new ChangeId(UUID.fromString(c.changeId)), new Revision(c.base), new TreeMap<>(c.files));
    } catch (IllegalArgumentException e) {
      throw CassiaException.of(Refusals.malformed("changeId is no UUID"));
    }
  }

  static String writeResult(ApplyResult r) {
    String message =
        r.code() == ResultCode.ACCEPTED
            ? "Revision " + r.revision() + " is accepted."
            : Refusals.notApplied(r.code(), r.revision()).message();
    return write(new Result(r.code().number(), r.code().name(), r.revision().value(), message));
  }

  /** Reads a result, or throws the refusal of a request that never came to a decision. */
  static ApplyResult readResult(byte[] body) throws CassiaException {
    Result r = read(body, Result.class);
    ResultCode code = code(r);
    if (r.revision == null) {
      throw CassiaException.of(new Refusal(code, String.valueOf(r.message)));
    }
    return new ApplyResult(code, new Revision(r.revision));
  }

  static String writeShown(ConfigurationView s) {
    return write(new Shown(s.revision().value(), s.text(), null, null, null));
  }

  static ConfigurationView readShown(byte[] body) throws CassiaException {
    Shown s = read(body, Shown.class);
    if (s.revision == null || s.text == null) {
      Result refused = new Result(s.code, s.name, null, s.message);
      throw CassiaException.of(new Refusal(code(refused), String.valueOf(s.message)));
    }
    return new ConfigurationView(new Revision(s.revision), s.text);
  }

  private static ResultCode code(Result r) {
    try {
      return ResultCode.valueOf(String.valueOf(r.name));
    } catch (IllegalArgumentException e) {
      return ResultCode.INTERNAL_ERROR;
    }
  }

  private static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      // Records of texts and numbers can always be written.
      throw new UncheckedIOException(e);
    }
  }

  private static <T> T read(byte[] body, Class<T> type) throws CassiaException {
    try {
      T value = MAPPER.readValue(body, type);
      if (value != null) {
        return value;
      }
    } catch (IOException e) {
      throw CassiaException.of(Refusals.malformed("the body is not the JSON that is expected"));
    }
    throw CassiaException.of(Refusals.malformed("the body is empty"));
  }

  private record Change(
      @Nullable String changeId, @Nullable Long base, @Nullable Map<String, String> files) {}

  private record Result(
      @Nullable Integer code,
      @Nullable String name,
      @Nullable Long revision,
      @Nullable String message) {}

  private record Shown(
      @Nullable Long revision,
      @Nullable String text,
      @Nullable Integer code,
      @Nullable String name,
      @Nullable String message) {}
}
