package org.cassiastack.filter;

import java.time.Instant;
import reactor.core.publisher.Mono;

/**
 * One step that each request passes. A filter answers by itself, or hands the request on:
 *
 * <pre>{@code
 * RequestFilter<Request, JobAnswer> refuseAll = (request, now, next) -> Mono.just(refusal);
 * RequestFilter<Request, JobAnswer> passAll = (request, now, next) -> next.proceed(request, now);
 * }</pre>
 *
 * @param <Q> the requests
 * @param <A> the answers
 * @since 0.1
 */
@FunctionalInterface
public interface RequestFilter<Q, A> {
  /**
   * Decides on a request.
   *
   * @param request the request
   * @param now the present time
   * @param next the rest of the chain
   * @return the whole answer, exactly once
   */
  Mono<A> filter(Q request, Instant now, FilterChain<Q, A> next);
}
