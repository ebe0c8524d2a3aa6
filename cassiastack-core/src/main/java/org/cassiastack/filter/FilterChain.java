package org.cassiastack.filter;

import java.time.Instant;
import java.util.List;
import org.cassiastack.model.JobAnswer;
import reactor.core.publisher.Mono;

/**
 * The rest of the steps that a request passes, ending where its answer is made.
 *
 * <pre>{@code
 * FilterChain chain = FilterChain.of(List.of(validation, quota), coordinator);
 * Mono<JobAnswer> answer = chain.proceed(request, now);
 * }</pre>
 *
 * @since 0.1
 */
@FunctionalInterface
public interface FilterChain {
  /**
   * Hands a request to the rest of the chain.
   *
   * @param request the request
   * @param now the present time
   * @return the whole answer, exactly once
   */
  Mono<JobAnswer> proceed(Request request, Instant now);

  /**
   * Makes a chain.
   *
   * @param filters the filters, first to last
   * @param last makes the answer of a request that passed every filter
   */
  static FilterChain of(List<RequestFilter> filters, FilterChain last) {
    FilterChain chain = last;
    for (int i = filters.size() - 1; i >= 0; i--) {
      RequestFilter f = filters.get(i);
      FilterChain rest = chain;
      chain = (request, now) -> f.filter(request, now, rest);
    }
    return chain;
  }
}
