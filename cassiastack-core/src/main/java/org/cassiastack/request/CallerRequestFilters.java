package org.cassiastack.request;

import java.util.function.BooleanSupplier;
import org.cassiastack.filter.RequestFilter;
import reactor.core.publisher.Mono;

/**
 * The filters that the library brings for callers' requests.
 *
 * @since 0.2
 */
public final class CallerRequestFilters {
  private CallerRequestFilters() {}

  /** Refuses every request while a condition holds; none of them has any effect. */
  public static RequestFilter<CallerRequest, RequestAnswer> refuseWhile(BooleanSupplier condition) {
    return (request, now, next) ->
        condition.getAsBoolean()
            ? Mono.just(RequestAnswer.of(DeskCode.NO_LEADER))
            : next.proceed(request, now);
  }

  /** Refuses requests whose callers have no time left to wait for an answer. */
  public static RequestFilter<CallerRequest, RequestAnswer> refuseExpired() {
    return (request, now, next) ->
        request.timeout().isNegative() || request.timeout().isZero()
            ? Mono.just(RequestAnswer.of(DeskCode.TOO_LATE))
            : next.proceed(request, now);
  }
}
