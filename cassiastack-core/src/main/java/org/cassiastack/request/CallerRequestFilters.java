package org.cassiastack.request;

import java.util.function.BooleanSupplier;
import org.cassiastack.filter.RequestFilter;
import reactor.core.publisher.Mono;

/**
 * The filters for callers' requests that the library provides.
 *
 * @since 0.2
 */
public final class CallerRequestFilters {
  private CallerRequestFilters() {}

  /**
   * Refuses every request with {@link AnswerCode#NO_LEADER} while a condition holds. A refused
   * request has no effect.
   */
  public static RequestFilter<CallerRequest, RequestAnswer> refuseWhile(BooleanSupplier condition) {
    return (request, now, next) ->
        condition.getAsBoolean()
            ? Mono.just(RequestAnswer.of(AnswerCode.NO_LEADER))
            : next.proceed(request, now);
  }

  /**
   * Refuses each request whose timeout is zero or negative with {@link AnswerCode#TOO_LATE}. A
   * submission that was delayed gets {@link AnswerCode#UNANSWERED} instead, because another node
   * may have accepted the job meanwhile.
   */
  public static RequestFilter<CallerRequest, RequestAnswer> refuseExpired() {
    return (request, now, next) ->
        request.timeout().isNegative() || request.timeout().isZero()
            ? Mono.just(RequestAnswer.of(expired(request)))
            : next.proceed(request, now);
  }

  private static AnswerCode expired(CallerRequest request) {
    boolean delayedJob = request.delayed() && request.kind() == CallerRequest.Kind.SUBMIT;
    return delayedJob ? AnswerCode.UNANSWERED : AnswerCode.TOO_LATE;
  }
}
