package org.cassiastack.filter;

import java.time.Instant;
import java.util.List;
import reactor.core.publisher.Mono;

/**
 * The remaining filters of a request, followed by the handler that answers the request.
 *
 * <pre>{@code
 * FilterChain<Request, JobAnswer> chain =
 *     FilterChain.of(List.of(validation, quota), coordinator);
 * Mono<JobAnswer> answer = chain.proceed(request, now);
 * }</pre>
 *
 * @param <Q> type of the requests
 * @param <A> type of the answers
 * @since 0.1
 */
@FunctionalInterface
public interface FilterChain<Q, A> {
  /**
   * Passes a request to the rest of the chain.
   *
   * @param request the request
   * @param now the current time
   * @return emits the whole answer exactly once
   */
  Mono<A> proceed(Q request, Instant now);

  /**
   * Creates a chain that ends with a handler.
   *
   * @param <Q> type of the requests
   * @param <A> type of the answers
   * @param filters the filters, first to last
   * @param handler answers each request that has passed every filter
   */
  static <Q, A> FilterChain<Q, A> of(List<RequestFilter<Q, A>> filters, FilterChain<Q, A> handler) {
    FilterChain<Q, A> chain = handler;
    for (int i = filters.size() - 1; i >= 0; i--) {
      RequestFilter<Q, A> filter = filters.get(i);
      FilterChain<Q, A> rest = chain;
      chain = (request, now) -> filter.filter(request, now, rest);
    }
    return chain;
  }
}
