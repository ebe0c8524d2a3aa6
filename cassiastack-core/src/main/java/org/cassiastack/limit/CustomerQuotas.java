package org.cassiastack.limit;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.CustomerSpec;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Refusal;
import org.cassiastack.model.Refusals;
import org.jspecify.annotations.Nullable;

/**
 * The part of the customers' quotas that one coordinator enforces.
 *
 * <ol>
 *   <li>The limit on the rate refuses new jobs. The limit on tasks in flight delays tasks and
 *       refuses no job, unless the limit is 0.
 *   <li>A coordinator without a granted share uses an equal part of each quota.
 *   <li>A changed quota applies to later decisions. Accepted jobs keep their place in the queue.
 * </ol>
 *
 * @since 0.1
 */
public final class CustomerQuotas {
  private final Map<Customer, TokenBucket> bucketByCustomer = new HashMap<>();
  private final Map<Customer, QuotaShare> shareByCustomer = new HashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private int coordinators = 1;

  private CustomerQuotas() {}

  /** Creates quotas that limit no customer until a configuration declares customers. */
  public static CustomerQuotas create() {
    return new CustomerQuotas();
  }

  /** Applies the quotas of a configuration; buckets of removed customers are dropped. */
  public void configurationChanged(Configuration newConfiguration, Instant now) {
    configuration = newConfiguration;
    bucketByCustomer.keySet().retainAll(newConfiguration.customers().keySet());
    updateRates(now);
  }

  /** Sets the number of coordinators that share the quotas. */
  public void setCoordinatorCount(int count, Instant now) {
    coordinators = count;
    updateRates(now);
  }

  /** Applies a granted share of one customer's quotas. */
  public void shareGranted(QuotaShare share, Instant now) {
    shareByCustomer.put(share.customer(), share);
    updateRates(now);
  }

  /** Reduces each granted share that has expired to its floor. */
  public void expire(Instant now) {
    boolean anyExpired =
        shareByCustomer.values().stream()
            .anyMatch(s -> !s.hasExpired() && !now.isBefore(s.expiresAt()));
    if (anyExpired) {
      shareByCustomer.replaceAll((c, s) -> now.isBefore(s.expiresAt()) ? s : s.reducedToFloor());
      updateRates(now);
    }
  }

  /**
   * Decides on the admission of a new job. An admitted job takes one token per task from the token
   * bucket of the customer.
   *
   * @return the reason of the refusal, or null if the job is admitted
   */
  public @Nullable Refusal admit(Customer customer, int tasks, Instant now) {
    CustomerSpec spec = configuration.customers().get(customer);
    if (spec == null) {
      return null;
    }
    boolean admitted = spec.maxConcurrentTasks() > 0 && bucket(spec, now).tryAcquire(tasks, now);
    return admitted ? null : Refusals.quotaExceeded(customer);
  }

  /** Returns whether a customer may have one more task in flight; one task is always allowed. */
  public boolean mayStart(Customer customer, int inFlight) {
    CustomerSpec spec = configuration.customers().get(customer);
    return spec == null || inFlight < Math.max(1, spec.maxConcurrentTasks() * fraction(customer));
  }

  private void updateRates(Instant now) {
    bucketByCustomer.forEach(
        (c, b) -> {
          CustomerSpec spec = configuration.customers().get(c);
          if (spec != null) {
            b.setRate(spec.maxTasksPerSecond() * fraction(c), now);
          }
        });
  }

  private TokenBucket bucket(CustomerSpec spec, Instant now) {
    return bucketByCustomer.computeIfAbsent(
        spec.name(), c -> TokenBucket.full(spec.maxTasksPerSecond() * fraction(c), now));
  }

  private double fraction(Customer customer) {
    QuotaShare share = shareByCustomer.get(customer);
    return share == null ? 1.0 / coordinators : share.fraction();
  }
}
