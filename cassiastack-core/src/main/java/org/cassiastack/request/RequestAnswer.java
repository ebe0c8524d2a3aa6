package org.cassiastack.request;

import java.time.Duration;
import org.cassiastack.model.Payload;
import org.cassiastack.queue.JobPhase;
import org.jspecify.annotations.Nullable;

/**
 * Answer to a {@link LeaderRequest}.
 *
 * @param code outcome of the request
 * @param phase phase of the job; null if the answer does not state one
 * @param pending number of jobs that have not started, if requested; otherwise 0
 * @param retryAfter time after which a retry may succeed; zero if that is not known
 * @param document document of the configuration, if requested; otherwise empty
 * @since 0.2
 */
public record RequestAnswer(
    AnswerCode code, @Nullable JobPhase phase, int pending, Duration retryAfter, Payload document) {
  /** Creates an answer that consists of a code alone. */
  public static RequestAnswer of(AnswerCode code) {
    return new RequestAnswer(code, null, 0, Duration.ZERO, Payload.EMPTY);
  }

  /** Creates an answer with the phase of a job. */
  public static RequestAnswer phase(AnswerCode code, JobPhase phase) {
    return new RequestAnswer(code, phase, 0, Duration.ZERO, Payload.EMPTY);
  }

  /** Creates an answer with the number of jobs that have not started. */
  public static RequestAnswer pending(int pending) {
    return new RequestAnswer(AnswerCode.FOUND, null, pending, Duration.ZERO, Payload.EMPTY);
  }

  /** Creates an answer with the document of a configuration. */
  public static RequestAnswer document(Payload document) {
    return new RequestAnswer(AnswerCode.FOUND, null, 0, Duration.ZERO, document);
  }

  /**
   * Creates a refusal with {@link AnswerCode#OVERLOADED} and the time after which a retry may
   * succeed.
   */
  public static RequestAnswer overloaded(Duration retryAfter) {
    return new RequestAnswer(AnswerCode.OVERLOADED, null, 0, retryAfter, Payload.EMPTY);
  }
}
