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
 * @param count number of jobs that have not started, if requested; with the configuration, number
 *     of the {@link DomainRevision} of the answer's term; otherwise 0. Leaders of earlier versions
 *     number no orders and state 0 with the configuration
 * @param retryAfter time after which a retry may succeed; zero if that is not known
 * @param document document of the configuration, if requested; text of the revision for {@link
 *     AnswerCode#CONFIRMATION_NEEDED}; otherwise empty
 * @since 0.2
 */
public record RequestAnswer(
    AnswerCode code, @Nullable JobPhase phase, int count, Duration retryAfter, Payload document) {
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

  /**
   * Creates an answer with the configuration in force.
   *
   * @param document document of the configuration; null before the first configuration
   * @param domainOrders number of the last order that the leader has taken for a failure domain
   */
  public static RequestAnswer configuration(@Nullable Payload document, int domainOrders) {
    AnswerCode code = document == null ? AnswerCode.NOT_CONFIGURED : AnswerCode.FOUND;
    Payload content = document == null ? Payload.EMPTY : document;
    return new RequestAnswer(code, null, domainOrders, Duration.ZERO, content);
  }

  /** Creates a refusal of an order that its operator has to confirm with a revision. */
  public static RequestAnswer confirmationNeeded(DomainRevision revision) {
    Payload text = Payload.ofText(revision.toString());
    return new RequestAnswer(AnswerCode.CONFIRMATION_NEEDED, null, 0, Duration.ZERO, text);
  }

  /**
   * Creates a refusal with {@link AnswerCode#OVERLOADED} and the time after which a retry may
   * succeed.
   */
  public static RequestAnswer overloaded(Duration retryAfter) {
    return new RequestAnswer(AnswerCode.OVERLOADED, null, 0, retryAfter, Payload.EMPTY);
  }
}
