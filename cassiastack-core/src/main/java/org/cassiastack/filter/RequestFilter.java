package org.cassiastack.filter;

import java.time.Instant;
import org.cassiastack.model.JobAnswer;
import reactor.core.publisher.Mono;

/**
 * One step that each request passes. A filter answers by itself, or hands the request on:
 *
 * <pre>{@code
 * RequestFilter refuseAll = (request, now, next) -> Mono.just(refusal);
 * RequestFilter passAll = (request, now, next) -> next.proceed(request, now);
 * }</pre>
 *
 * @since 0.1
 */
@FunctionalInterface
public interface RequestFilter {
  /**
   * Decides on a request.
   *
   * @param request the request
   * @param now the present time
   * @param next the rest of the chain
   * @return the whole answer, exactly once
   */
  Mono<JobAnswer> filter(Request request, Instant now, FilterChain next);
}
