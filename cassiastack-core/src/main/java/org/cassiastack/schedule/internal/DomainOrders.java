package org.cassiastack.schedule.internal;

import java.util.HashMap;
import java.util.Map;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.request.DomainRevision;

/**
 * Numbers the orders for failure domains that a leader takes in its term.
 *
 * <p>The numbers need not outlive the leader. A later leader refuses a revision of another term,
 * and a change that an earlier leader proposed is in the log before those of its successors, or is
 * never committed.
 */
final class DomainOrders {
  /** Number before the first order. A leader that does not number its orders reports 0. */
  private static final int INITIAL_NUMBER = 1;

  private final long term;
  private final Map<FailureDomain, Integer> lastOrders = new HashMap<>();
  private int number = INITIAL_NUMBER;

  DomainOrders(long term) {
    this.term = term;
  }

  /** Returns the number of the last order. */
  int number() {
    return number;
  }

  /** Returns whether no order for a domain was taken since a revision. */
  boolean isUnchangedSince(FailureDomain domain, DomainRevision r) {
    return r.term() == term && lastOrders.getOrDefault(domain, INITIAL_NUMBER) <= r.number();
  }

  /** Counts an order for a domain, also if it does not change the domain. */
  void add(FailureDomain domain) {
    number++;
    lastOrders.put(domain, number);
  }
}
