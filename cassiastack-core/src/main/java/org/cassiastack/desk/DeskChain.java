package org.cassiastack.desk;

import java.time.Instant;
import java.util.List;
import reactor.core.publisher.Mono;

/**
 * The rest of the steps that a caller's request passes, ending with the leader.
 *
 * <pre>{@code
 * DeskChain chain = DeskChain.of(List.of(DeskFilters.refuseWhile(stopping)), leader);
 * Mono<DeskAnswer> answer = chain.proceed(request, now);
 * }</pre>
 *
 * @since 0.2
 */
@FunctionalInterface
public interface DeskChain {
  /**
   * Hands a request to the rest of the chain.
   *
   * @param request the request
   * @param now the present time
   * @return the answer, exactly once
   */
  Mono<DeskAnswer> proceed(CallerRequest request, Instant now);

  /**
   * Makes a chain.
   *
   * @param filters the filters, first to last
   * @param last makes the answer of a request that passed every filter
   */
  static DeskChain of(List<DeskFilter> filters, DeskChain last) {
    DeskChain chain = last;
    for (int i = filters.size() - 1; i >= 0; i--) {
      DeskFilter f = filters.get(i);
      DeskChain rest = chain;
      chain = (request, now) -> f.filter(request, now, rest);
    }
    return chain;
  }
}
