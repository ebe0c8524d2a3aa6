package org.cassiastack.filter;

import java.time.Instant;
import reactor.core.publisher.Mono;

/**
 * A filter that each request passes. The filter either answers the request or passes the request to
 * the rest of the chain:
 *
 * <pre>{@code
 * RequestFilter<Request, JobAnswer> refuseAll = (request, now, next) -> Mono.just(refusal);
 * RequestFilter<Request, JobAnswer> passAll = (request, now, next) -> next.proceed(request, now);
 * }</pre>
 *
 * @param <Q> type of the requests
 * @param <A> type of the answers
 * @since 0.1
 */
@FunctionalInterface
public interface RequestFilter<Q, A> {
  /**
   * Answers a request, or passes the request to the rest of the chain.
   *
   * @param request the request
   * @param now the current time
   * @param next the rest of the chain
   * @return emits the whole answer exactly once
   */
  Mono<A> filter(Q request, Instant now, FilterChain<Q, A> next);
}
