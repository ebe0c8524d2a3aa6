package org.cassiastack.desk;

import java.time.Instant;
import reactor.core.publisher.Mono;

/**
 * One step that each caller's request passes. A filter answers by itself, or hands the request on.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface DeskFilter {
  /**
   * Decides on a request.
   *
   * @param request the request
   * @param now the present time
   * @param next the rest of the chain
   * @return the answer, exactly once
   */
  Mono<DeskAnswer> filter(CallerRequest request, Instant now, DeskChain next);
}
