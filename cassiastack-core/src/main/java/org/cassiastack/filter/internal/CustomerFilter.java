package org.cassiastack.filter.internal;

import java.time.Instant;
import java.util.function.Supplier;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.filter.FilterChain;
import org.cassiastack.filter.Request;
import org.cassiastack.filter.RequestFilter;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.Refusals;
import reactor.core.publisher.Mono;

/** Refuses jobs of customers that the configuration in force does not declare. */
public final class CustomerFilter implements RequestFilter<Request, JobAnswer> {
  private final Supplier<Configuration> inForce;

  /**
   * Creates a filter that reads the configuration in force from the given supplier at each request.
   */
  public CustomerFilter(Supplier<Configuration> inForce) {
    this.inForce = inForce;
  }

  @Override
  public Mono<JobAnswer> filter(
      Request request, Instant now, FilterChain<Request, JobAnswer> next) {
    if (!inForce.get().customers().containsKey(request.job().customer())) {
      return next.proceed(
          request.withRefusal(Refusals.unknownCustomer(request.job().customer())), now);
    }
    return next.proceed(request, now);
  }
}
