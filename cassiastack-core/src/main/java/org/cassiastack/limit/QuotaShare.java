package org.cassiastack.limit;

import java.time.Instant;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.model.Customer;

/**
 * The part of a customer's quotas that a coordinator may use.
 *
 * @param customer the customer
 * @param fraction part of the quotas, 0 to 1
 * @param floor part that may be used after the share has run out
 * @param expiresAt when the share runs out
 * @since 0.1
 */
public record QuotaShare(Customer customer, double fraction, double floor, Instant expiresAt)
    implements Event, Effect {
  /** Returns the share that is left when it was not renewed in time. */
  QuotaShare reducedToFloor() {
    return new QuotaShare(customer, floor, floor, Instant.MAX);
  }

  /** Tells whether only the floor is left. */
  boolean hasExpired() {
    return expiresAt.equals(Instant.MAX);
  }
}
