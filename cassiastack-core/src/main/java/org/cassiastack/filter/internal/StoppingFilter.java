package org.cassiastack.filter.internal;

import java.time.Instant;
import java.util.function.BooleanSupplier;
import org.cassiastack.filter.FilterChain;
import org.cassiastack.filter.Request;
import org.cassiastack.filter.RequestFilter;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.Refusals;
import reactor.core.publisher.Mono;

/** Refuses every request while the process is stopping. */
public final class StoppingFilter implements RequestFilter<Request, JobAnswer> {
  private final BooleanSupplier stopping;

  /**
   * Creates a filter that reads from the given supplier at each request whether the process is
   * stopping.
   */
  public StoppingFilter(BooleanSupplier stopping) {
    this.stopping = stopping;
  }

  @Override
  public Mono<JobAnswer> filter(
      Request request, Instant now, FilterChain<Request, JobAnswer> next) {
    if (stopping.getAsBoolean()) {
      return next.proceed(request.withRefusal(Refusals.stopping()), now);
    }
    return next.proceed(request, now);
  }
}
