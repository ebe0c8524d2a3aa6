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

/** JSON bodies of the HTTP API for operators. */
final class ConfigurationJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ConfigurationJson() {}

  static String writeChange(ChangeRequest r) {
    return write(new Change(r.changeId().toString(), r.base().value(), r.files()));
  }

  static ChangeRequest readChange(byte[] body) throws CassiaException {
    Change c = read(body, Change.class);
    if (c.changeId == null || c.base == null || c.files == null || c.files.isEmpty()) {
      throw CassiaException.of(
          Refusals.malformed(
              "'changeId', 'base' and 'files' are required, and 'files' must not be empty"));
    }
    try {
      return new ChangeRequest(
          new ChangeId(UUID.fromString(c.changeId)), new Revision(c.base), new TreeMap<>(c.files));
    } catch (IllegalArgumentException e) {
      throw CassiaException.of(Refusals.malformed("'changeId' is not a UUID"));
    }
  }

  static String writeResult(ApplyResult r) {
    String message =
        r.code() == ResultCode.ACCEPTED
            ? "Revision " + r.revision() + " is accepted."
            : Refusals.notApplied(r.code(), r.revision()).message();
    return write(new Result(r.code().number(), r.code().name(), r.revision().value(), message));
  }

  /**
   * Reads the server's answer to a change.
   *
   * @throws CassiaException if the body is malformed, or with the refusal in the body if the body
   *     contains no revision: the server then answered with an error instead of the result of the
   *     change
   */
  static ApplyResult readResult(byte[] body) throws CassiaException {
    Result r = read(body, Result.class);
    ResultCode code = codeOf(r);
    if (r.revision == null) {
      throw CassiaException.of(new Refusal(code, String.valueOf(r.message)));
    }
    return new ApplyResult(code, new Revision(r.revision));
  }

  static String writeView(ConfigurationView v) {
    return write(new View(v.revision().value(), v.text(), null, null, null));
  }

  static ConfigurationView readView(byte[] body) throws CassiaException {
    View v = read(body, View.class);
    if (v.revision == null || v.text == null) {
      Result refused = new Result(v.code, v.name, null, v.message);
      throw CassiaException.of(new Refusal(codeOf(refused), String.valueOf(v.message)));
    }
    return new ConfigurationView(new Revision(v.revision), v.text);
  }

  private static ResultCode codeOf(Result r) {
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
      // Does not occur: records of strings and numbers can always be encoded.
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
      throw CassiaException.of(
          Refusals.malformed("the body is not valid JSON of the expected form"));
    }
    throw CassiaException.of(Refusals.malformed("the body must be a JSON object, not null"));
  }

  private record Change(
      @Nullable String changeId, @Nullable Long base, @Nullable Map<String, String> files) {}

  private record Result(
      @Nullable Integer code,
      @Nullable String name,
      @Nullable Long revision,
      @Nullable String message) {}

  private record View(
      @Nullable Long revision,
      @Nullable String text,
      @Nullable Integer code,
      @Nullable String name,
      @Nullable String message) {}
}
