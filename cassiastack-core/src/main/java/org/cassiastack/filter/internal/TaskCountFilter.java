package org.cassiastack.filter.internal;

import java.time.Instant;
import org.cassiastack.filter.FilterChain;
import org.cassiastack.filter.Request;
import org.cassiastack.filter.RequestFilter;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.Refusals;
import reactor.core.publisher.Mono;

/** Refuses jobs with fewer than 1 or more than {@link Job#MAX_TASKS} tasks. */
public final class TaskCountFilter implements RequestFilter<Request, JobAnswer> {
  @Override
  public Mono<JobAnswer> filter(
      Request request, Instant now, FilterChain<Request, JobAnswer> next) {
    Job job = request.job();
    int count = job.tasks().size();
    if (count < 1 || count > Job.MAX_TASKS) {
      return next.proceed(request.withRefusal(Refusals.invalidTaskCount(count)), now);
    }
    return next.proceed(request, now);
  }
}
