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
 *   <li>The rate refuses new jobs; the number in flight holds tasks back and refuses nothing.
 *   <li>Without a granted share a coordinator uses an equal part of each quota.
 *   <li>A change of quota holds for what comes next; accepted jobs keep their place.
 * </ol>
 *
 * @since 0.1
 */
public final class CustomerQuotas {
  private final Map<Customer, TokenBucket> buckets = new HashMap<>();
  private final Map<Customer, QuotaShare> shares = new HashMap<>();
  private Configuration inForce = Configuration.EMPTY;
  private int coordinators = 1;

  private CustomerQuotas() {}

  /** Makes quotas that limit nobody until a configuration declares customers. */
  public static CustomerQuotas create() {
    return new CustomerQuotas();
  }

  /** Takes over a configuration. */
  public void configurationChanged(Configuration next, Instant now) {
    inForce = next;
    buckets.keySet().retainAll(next.customers().keySet());
    refill(now);
  }

  /** Takes over another number of coordinators. */
  public void setCoordinatorCount(int count, Instant now) {
    coordinators = count;
    refill(now);
  }

  /** Takes over a granted share of one customer's quotas. */
  public void shareGranted(QuotaShare share, Instant now) {
    shares.put(share.customer(), share);
    refill(now);
  }

  /** Goes back to the floor where a granted share has run out. */
  public void expire(Instant now) {
    boolean anyRanOut =
        shares.values().stream().anyMatch(s -> !s.hasExpired() && !now.isBefore(s.expiresAt()));
    if (anyRanOut) {
      shares.replaceAll((c, s) -> now.isBefore(s.expiresAt()) ? s : s.reducedToFloor());
      refill(now);
    }
  }

  /** Decides on a new job; takes its tasks from the rate if it is admitted. */
  public @Nullable Refusal admit(Customer customer, int tasks, Instant now) {
    CustomerSpec spec = inForce.customers().get(customer);
    if (spec == null) {
      return null;
    }
    boolean admitted = spec.concurrentTasks() > 0 && bucket(spec, now).tryAcquire(tasks, now);
    return admitted ? null : Refusals.quotaExceeded(customer);
  }

  /** Tells whether a customer may have one more task in flight. */
  public boolean mayStart(Customer customer, int inFlight) {
    CustomerSpec spec = inForce.customers().get(customer);
    return spec == null || inFlight < Math.max(1, spec.concurrentTasks() * fraction(customer));
  }

  private void refill(Instant now) {
    buckets.forEach(
        (c, b) -> {
          CustomerSpec spec = inForce.customers().get(c);
          if (spec != null) {
            b.setRate(spec.tasksPerSecond() * fraction(c), now);
          }
        });
  }

  private TokenBucket bucket(CustomerSpec spec, Instant now) {
    return buckets.computeIfAbsent(
        spec.name(), c -> TokenBucket.full(spec.tasksPerSecond() * fraction(c), now));
  }

  private double fraction(Customer customer) {
    QuotaShare share = shares.get(customer);
    return share == null ? 1.0 / coordinators : share.fraction();
  }
}
