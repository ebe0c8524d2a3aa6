package org.cassiastack.transport.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.job.JobState;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Payload;
import org.cassiastack.model.Refusal;
import org.cassiastack.model.Refusals;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Task;
import org.cassiastack.model.TaskResult;
import org.jspecify.annotations.Nullable;

/**
 * JSON bodies of the callers' API.
 *
 * <pre>{@code
 * {"service": "ice", "timeoutMillis": 5000, "nonIdempotent": false, "tasks": ["...", "..."]}
 * {"key": "...", "code": 100, "name": "COMPLETE", "message": "complete", "results": ["...", "..."]}
 * }</pre>
 *
 * @since 0.1
 */
public final class JobJson {
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .setDefaultPropertyInclusion(JsonInclude.Include.NON_NULL)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT);

  private static final Duration MAX_TIMEOUT = Duration.ofHours(1);

  private JobJson() {}

  /**
   * Reads a job.
   *
   * @param key the job's key, from its header
   * @param customer whom the caller acts for, from its header
   * @param defaultTimeout used when the body names none
   * @param body the JSON text in UTF-8
   * @throws CassiaException with {@link ResultCode#MALFORMED} when the body is no job
   */
  public static Job readJob(JobKey key, Customer customer, Duration defaultTimeout, byte[] body)
      throws CassiaException {
    JobBody b = read(body, JobBody.class);
    if (b.service == null || b.tasks == null || b.tasks.contains(null)) {
      throw malformed("'service' and 'tasks' are needed, 'tasks' being a list of texts");
    }
    Duration timeout = defaultTimeout;
    if (b.timeoutMillis != null) {
      timeout = Duration.ofMillis(b.timeoutMillis);
      if (timeout.isNegative() || timeout.isZero() || timeout.compareTo(MAX_TIMEOUT) > 0) {
        throw malformed("'timeoutMillis' must be 1 to " + MAX_TIMEOUT.toMillis());
      }
    }
    List<Task> tasks = new ArrayList<>(b.tasks.size());
    for (String t : b.tasks) {
      tasks.add(new Task(tasks.size(), Payload.ofText(t)));
    }
    // A job that does not say so may be repeated.
    boolean idempotent = b.nonIdempotent == null || !b.nonIdempotent;
    return new Job(key, customer, new ServiceName(b.service), timeout, idempotent, tasks);
  }

  /** Writes a job, without its key and customer, which travel as headers. */
  public static String writeJob(Job job) {
    List<String> tasks = job.tasks().stream().map(t -> t.payload().toText()).toList();
    return write(
        new JobBody(job.service().name(), job.timeout().toMillis(), !job.idempotent(), tasks));
  }

  /** Writes an answer. */
  public static String writeAnswer(JobAnswer a) {
    return write(body(a));
  }

  /** Writes a refusal of a request whose key could not be read. */
  public static String writeRefusal(Refusal r) {
    return write(new AnswerBody(null, r.code().number(), r.code().name(), r.message(), null));
  }

  /**
   * Reads an answer.
   *
   * @throws CassiaException with the refusal that the body holds, or with {@link
   *     ResultCode#MALFORMED} when it is no answer
   */
  public static JobAnswer readAnswer(byte[] body) throws CassiaException {
    AnswerBody b = read(body, AnswerBody.class);
    ResultCode code = codeOf(b.code);
    if (b.message == null || code == null) {
      throw malformed("the answer lacks 'code' or 'message'");
    }
    if (b.key == null) {
      throw CassiaException.of(new Refusal(code, b.message));
    }
    List<TaskResult> results = new ArrayList<>();
    for (String r : b.results == null ? List.<String>of() : b.results) {
      results.add(TaskResult.complete(results.size(), Payload.ofText(r)));
    }
    return new JobAnswer(JobKey.parse(b.key), code, b.message, results);
  }

  /** Writes the state of a job. */
  public static String writeState(JobState s) {
    JobAnswer a = s.answer();
    return write(
        new StateBody(s.key().toString(), s.tasks(), s.endedTasks(), a == null ? null : body(a)));
  }

  private static AnswerBody body(JobAnswer a) {
    List<String> results =
        a.isComplete() ? a.results().stream().map(r -> r.output().toText()).toList() : null;
    return new AnswerBody(
        a.key().toString(), a.code().number(), a.code().name(), a.message(), results);
  }

  private static @Nullable ResultCode codeOf(int number) {
    for (ResultCode c : ResultCode.values()) {
      if (c.number() == number) {
        return c;
      }
    }
    return null;
  }

  private static <T> T read(byte[] body, Class<T> type) throws CassiaException {
    try {
      T value = MAPPER.readValue(body, type);
      if (value == null) {
        throw malformed("the body is null");
      }
      return value;
    } catch (JsonProcessingException e) {
      throw malformed(e.getOriginalMessage());
    } catch (IOException e) {
      throw malformed("the body is no JSON");
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

  private static CassiaException malformed(String detail) {
    return CassiaException.of(Refusals.malformed(detail));
  }

  private record JobBody(
      @Nullable String service,
      @Nullable Long timeoutMillis,
      @Nullable Boolean nonIdempotent,
      @Nullable List<String> tasks) {}

  private record AnswerBody(
      @Nullable String key,
      int code,
      @Nullable String name,
      @Nullable String message,
      @Nullable List<String> results) {}

  private record StateBody(String key, int tasks, int ended, @Nullable AnswerBody answer) {}
}
