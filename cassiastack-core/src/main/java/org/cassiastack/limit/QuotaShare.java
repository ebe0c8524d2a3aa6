package org.cassiastack.limit;

import java.time.Instant;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.model.Customer;

/**
 * The part of a customer's quotas that a coordinator may use until the share expires.
 *
 * @param customer the customer
 * @param fraction fraction of the quotas that may be used, 0 to 1
 * @param floor fraction that may be used after the share has expired, 0 to 1
 * @param expiresAt when the share expires; {@link Instant#MAX} if it was reduced to the floor
 * @since 0.1
 */
public record QuotaShare(Customer customer, double fraction, double floor, Instant expiresAt)
    implements Event, Effect {
  /** Returns the share that replaces this share after its expiry without a renewal. */
  QuotaShare reducedToFloor() {
    return new QuotaShare(customer, floor, floor, Instant.MAX);
  }

  /** Returns whether the share was reduced to the floor. */
  boolean hasExpired() {
    return expiresAt.equals(Instant.MAX);
  }
}
