package org.cassiastack.filter;

import java.time.Instant;
import java.util.List;
import reactor.core.publisher.Mono;

/**
 * The rest of the steps that a request passes, ending where its answer is made.
 *
 * <pre>{@code
 * FilterChain<Request, JobAnswer> chain =
 *     FilterChain.of(List.of(validation, quota), coordinator);
 * Mono<JobAnswer> answer = chain.proceed(request, now);
 * }</pre>
 *
 * @param <Q> the requests
 * @param <A> the answers
 * @since 0.1
 */
@FunctionalInterface
public interface FilterChain<Q, A> {
  /**
   * Hands a request to the rest of the chain.
   *
   * @param request the request
   * @param now the present time
   * @return the whole answer, exactly once
   */
  Mono<A> proceed(Q request, Instant now);

  /**
   * Makes a chain.
   *
   * @param <Q> the requests
   * @param <A> the answers
   * @param filters the filters, first to last
   * @param last makes the answer of a request that passed every filter
   */
  static <Q, A> FilterChain<Q, A> of(List<RequestFilter<Q, A>> filters, FilterChain<Q, A> last) {
    FilterChain<Q, A> chain = last;
    for (int i = filters.size() - 1; i >= 0; i--) {
      RequestFilter<Q, A> f = filters.get(i);
      FilterChain<Q, A> rest = chain;
      chain = (request, now) -> f.filter(request, now, rest);
    }
    return chain;
  }
}
