package org.cassiastack.request;

import java.time.Duration;
import org.cassiastack.model.Payload;
import org.cassiastack.queue.JobPhase;
import org.jspecify.annotations.Nullable;

/**
 * The answer to a request.
 *
 * @param code what became of it
 * @param phase phase of the job that was asked for, or null
 * @param pending number of jobs that wait, where that was asked for
 * @param retryAfter when it is of use to ask again; zero when that is not known
 * @param document the configuration that was asked for, otherwise empty
 * @since 0.2
 */
public record RequestAnswer(
    DeskCode code, @Nullable JobPhase phase, int pending, Duration retryAfter, Payload document) {
  /** Makes an answer that is a code alone. */
  public static RequestAnswer of(DeskCode code) {
    return new RequestAnswer(code, null, 0, Duration.ZERO, Payload.EMPTY);
  }

  /** Makes an answer that tells the phase of a job. */
  public static RequestAnswer phase(DeskCode code, JobPhase phase) {
    return new RequestAnswer(code, phase, 0, Duration.ZERO, Payload.EMPTY);
  }

  /** Makes an answer that tells the number of waiting jobs. */
  public static RequestAnswer pending(int pending) {
    return new RequestAnswer(DeskCode.FOUND, null, pending, Duration.ZERO, Payload.EMPTY);
  }

  /** Makes an answer that gives a configuration back. */
  public static RequestAnswer document(Payload document) {
    return new RequestAnswer(DeskCode.FOUND, null, 0, Duration.ZERO, document);
  }

  /** Makes a refusal that tells when it is of use to come back. */
  public static RequestAnswer overloaded(Duration retryAfter) {
    return new RequestAnswer(DeskCode.OVERLOADED, null, 0, retryAfter, Payload.EMPTY);
  }
}
