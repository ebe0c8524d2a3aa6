package org.cassiastack.schedule.internal;

import java.util.Locale;

/** Why a run counts as lost. */
enum RunLoss {
  /** The agent has processed the order, and its complete lists do not name the run. */
  NOT_LISTED,
  /** The minion restarted before the start was sent. */
  NEW_INCARNATION,
  /** The agent has been silent for longer than its lease. */
  LEASE_EXPIRED;

  /** Returns the value in log lines. */
  String logValue() {
    return name().toLowerCase(Locale.ROOT);
  }
}
