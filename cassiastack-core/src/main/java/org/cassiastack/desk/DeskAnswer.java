package org.cassiastack.desk;

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
public record DeskAnswer(
    DeskCode code, @Nullable JobPhase phase, int pending, Duration retryAfter, Payload document) {
  /** Makes an answer that is a code alone. */
  public static DeskAnswer of(DeskCode code) {
    return new DeskAnswer(code, null, 0, Duration.ZERO, Payload.EMPTY);
  }

  /** Makes an answer that tells the phase of a job. */
  public static DeskAnswer phase(DeskCode code, JobPhase phase) {
    return new DeskAnswer(code, phase, 0, Duration.ZERO, Payload.EMPTY);
  }

  /** Makes an answer that tells the number of waiting jobs. */
  public static DeskAnswer pending(int pending) {
    return new DeskAnswer(DeskCode.FOUND, null, pending, Duration.ZERO, Payload.EMPTY);
  }

  /** Makes an answer that gives a configuration back. */
  public static DeskAnswer document(Payload document) {
    return new DeskAnswer(DeskCode.FOUND, null, 0, Duration.ZERO, document);
  }

  /** Makes a refusal that tells when it is of use to come back. */
  public static DeskAnswer overloaded(Duration retryAfter) {
    return new DeskAnswer(DeskCode.OVERLOADED, null, 0, retryAfter, Payload.EMPTY);
  }
}
