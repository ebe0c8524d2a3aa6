package org.cassiastack.schedule.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.cassiastack.decision.Decision;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.queue.LedgerBatch;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.DomainRevision;
import org.cassiastack.request.SwitchDomain;
import org.cassiastack.request.SwitchDomainSince;
import org.jspecify.annotations.Nullable;

/**
 * Numbers the orders for failure domains that a leader takes in its term, and refuses orders that
 * are based on an earlier number.
 *
 * <p>The numbers need not outlive the leader. A later leader refuses a revision of another term,
 * and a change that an earlier leader proposed is in the log before those of its successors, or is
 * never committed.
 */
final class DomainOrders {
  /** Number before the first order. A leader that does not number its orders reports 0. */
  private static final int INITIAL_NUMBER = 1;

  private final long term;
  private final LedgerChanges commits;
  private final Consumer<Decision> decisions;
  private final BiConsumer<Caller, AnswerCode> answers;
  private final Map<FailureDomain, LastOrder> lastOrders = new HashMap<>();
  private int number = INITIAL_NUMBER;

  DomainOrders(
      long term,
      LedgerChanges commits,
      Consumer<Decision> decisions,
      BiConsumer<Caller, AnswerCode> answers) {
    this.term = term;
    this.commits = commits;
    this.decisions = decisions;
    this.answers = answers;
  }

  /** Returns the number of the last order. */
  int number() {
    return number;
  }

  /** Takes an order of a node whose version knows no revisions. */
  void take(Caller caller, SwitchDomain order) {
    take(caller, order.domain(), order.out());
  }

  /**
   * Takes an order, unless another one for its domain was taken since the order's revision. The
   * last order that was taken is acknowledged again when it is repeated.
   */
  void take(Caller caller, SwitchDomainSince order) {
    LastOrder last = lastOrders.get(order.domain());
    if (last != null && last.caller.equals(caller)) {
      propose(caller, order.domain(), order.out());
    } else if (isBasedOn(last, order.basedOn())) {
      take(caller, order.domain(), order.out());
    } else {
      String inputs = "out=" + order.out() + " based_on=" + order.basedOn();
      decisions.accept(Decision.of("domain_order_refused", order.domain(), "superseded", inputs));
      answers.accept(caller, AnswerCode.SUPERSEDED);
    }
  }

  private void take(Caller caller, FailureDomain domain, boolean out) {
    number++;
    lastOrders.put(domain, new LastOrder(number, caller));
    propose(caller, domain, out);
  }

  private void propose(Caller caller, FailureDomain domain, boolean out) {
    commits.addDomainSwitch(
        new LedgerBatch.DomainSwitch(domain, out),
        at -> answers.accept(caller, AnswerCode.ACCEPTED));
  }

  private boolean isBasedOn(@Nullable LastOrder last, DomainRevision r) {
    return r.term() == term && (last == null || last.number <= r.number());
  }

  private record LastOrder(int number, Caller caller) {}
}
