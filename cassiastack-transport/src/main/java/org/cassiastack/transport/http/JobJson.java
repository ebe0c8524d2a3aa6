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
 * JSON bodies of the HTTP API for callers. Examples of a job and of the answer to a job:
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
   * @param key key of the job, from the request header
   * @param customer customer for whom the caller acts, from the request header
   * @param defaultTimeout timeout of a job whose body does not contain a timeout
   * @param body the JSON text in UTF-8
   * @throws CassiaException with {@link ResultCode#MALFORMED} if the body is not a valid job
   */
  public static Job readJob(JobKey key, Customer customer, Duration defaultTimeout, byte[] body)
      throws CassiaException {
    JobBody b = read(body, JobBody.class);
    if (b.service == null || b.tasks == null || b.tasks.contains(null)) {
      throw malformed("'service' and 'tasks' are required, and 'tasks' must be a list of strings");
    }
    Duration timeout = defaultTimeout;
    if (b.timeoutMillis != null) {
      timeout = Duration.ofMillis(b.timeoutMillis);
      if (timeout.isNegative() || timeout.isZero() || timeout.compareTo(MAX_TIMEOUT) > 0) {
        throw malformed("'timeoutMillis' must be between 1 and " + MAX_TIMEOUT.toMillis());
      }
    }
    List<Task> tasks = new ArrayList<>(b.tasks.size());
    for (String t : b.tasks) {
      tasks.add(new Task(tasks.size(), Payload.ofText(t)));
    }
    // Jobs are idempotent by default: tasks may be repeated unless the body says otherwise.
    boolean idempotent = b.nonIdempotent == null || !b.nonIdempotent;
    return new Job(key, customer, new ServiceName(b.service), timeout, idempotent, tasks);
  }

  /** Writes a job without its key and customer, which are sent as request headers. */
  public static String writeJob(Job job) {
    List<String> tasks = job.tasks().stream().map(t -> t.payload().toText()).toList();
    return write(
        new JobBody(job.service().name(), job.timeout().toMillis(), !job.idempotent(), tasks));
  }

  /** Writes the answer to a job, with the results of its tasks if the job is complete. */
  public static String writeAnswer(JobAnswer a) {
    return write(toAnswerBody(a));
  }

  /** Writes a refusal without a job key, for example if the key could not be read. */
  public static String writeRefusal(Refusal r) {
    return write(new AnswerBody(null, r.code().number(), r.code().name(), r.message(), null));
  }

  /**
   * Reads the answer to a job.
   *
   * @throws CassiaException with the refusal if the body is a refusal without a job key, or with
   *     {@link ResultCode#MALFORMED} if the body is not an answer
   */
  public static JobAnswer readAnswer(byte[] body) throws CassiaException {
    AnswerBody b = read(body, AnswerBody.class);
    ResultCode code = codeOf(b.code);
    if (b.message == null || code == null) {
      throw malformed("the answer has no valid 'code' or no 'message'");
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

  /** Writes the state of a job, with its answer unless the job is still running. */
  public static String writeState(JobState s) {
    JobAnswer a = s.answer();
    return write(
        new StateBody(
            s.key().toString(), s.tasks(), s.endedTasks(), a == null ? null : toAnswerBody(a)));
  }

  private static AnswerBody toAnswerBody(JobAnswer a) {
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
        throw malformed("the body must be a JSON object, not null");
      }
      return value;
    } catch (JsonProcessingException e) {
      throw malformed(e.getOriginalMessage());
    } catch (IOException e) {
      throw malformed("the body could not be read as JSON");
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
