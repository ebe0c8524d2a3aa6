package org.cassiastack.filter;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.filter.internal.CustomerFilter;
import org.cassiastack.filter.internal.ServiceFilter;
import org.cassiastack.filter.internal.StoppingFilter;
import org.cassiastack.filter.internal.TaskCountFilter;
import org.cassiastack.model.JobAnswer;

/**
 * The filters that the library provides for callers' requests.
 *
 * @since 0.1
 */
public final class Filters {
  private Filters() {}

  /** Returns a filter that refuses every request while the process is stopping. */
  public static RequestFilter<Request, JobAnswer> refuseWhileStopping(BooleanSupplier stopping) {
    return new StoppingFilter(stopping);
  }

  /**
   * Returns a filter that refuses jobs with fewer than 1 or more than {@link
   * org.cassiastack.model.Job#MAX_TASKS} tasks.
   */
  public static RequestFilter<Request, JobAnswer> taskCount() {
    return new TaskCountFilter();
  }

  /** Returns a filter that refuses customers that the configuration in force does not declare. */
  public static RequestFilter<Request, JobAnswer> customer(Supplier<Configuration> inForce) {
    return new CustomerFilter(inForce);
  }

  /** Returns a filter that refuses services that the configuration in force does not declare. */
  public static RequestFilter<Request, JobAnswer> service(Supplier<Configuration> inForce) {
    return new ServiceFilter(inForce);
  }
}
