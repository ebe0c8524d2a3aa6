package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.model.Incarnation;
import org.cassiastack.runs.AgentReport;
import org.jspecify.annotations.Nullable;

/**
 * The order of the reports of one agent. Only the reports of its present incarnation count.
 *
 * <p>Incarnations are ordered by the clock of the agent's machine, which may be set back before a
 * restart. An incarnation that is above all that have reported follows the present one at once. A
 * report of any other may be one of a former agent that is read late, so such an incarnation
 * follows only when the present one has been silent for a time.
 */
final class ReportOrder {
  /** What a report is in relation to those before it. */
  enum Verdict {
    /** A later report of the present incarnation, or the first report of all. */
    NEXT,
    /** The first report of an incarnation that is above all before, and is the present one now. */
    NEW_INCARNATION,
    /** The first report of another incarnation, which follows because the present one is silent. */
    AFTER_SILENCE,
    /** A report that does not count. */
    OUTDATED
  }

  private @Nullable Incarnation present;
  private Instant presentSentAt = Instant.MIN;

  /** When the last report of the present incarnation arrived. */
  private Instant presentReportedAt = Instant.MIN;

  private Incarnation highest = new Incarnation(Long.MIN_VALUE);

  /**
   * Handles a report.
   *
   * @param silenceLimit time after the last report of the present incarnation by which its lease
   *     has expired, and after which an incarnation may follow that is not above all others
   */
  Verdict onReport(AgentReport r, Duration silenceLimit, Instant now) {
    Verdict verdict = verdictOn(r, silenceLimit, now);
    if (verdict != Verdict.OUTDATED) {
      present = r.incarnation();
      presentSentAt = r.sentAt();
      presentReportedAt = now;
      highest = highest.isBefore(r.incarnation()) ? r.incarnation() : highest;
    }
    return verdict;
  }

  private Verdict verdictOn(AgentReport r, Duration silenceLimit, Instant now) {
    if (present == null) {
      return Verdict.NEXT;
    }
    if (r.incarnation().equals(present)) {
      return r.sentAt().isAfter(presentSentAt) ? Verdict.NEXT : Verdict.OUTDATED;
    }
    if (highest.isBefore(r.incarnation())) {
      return Verdict.NEW_INCARNATION;
    }
    return now.isAfter(presentReportedAt.plus(silenceLimit))
        ? Verdict.AFTER_SILENCE
        : Verdict.OUTDATED;
  }

  /** Returns the time since the last report that counted. */
  Duration silence(Instant now) {
    return present == null ? Duration.ZERO : Duration.between(presentReportedAt, now);
  }

  /** Moves the time from which the silence of the present incarnation is counted. */
  void onClockLeaped(Duration leap) {
    presentReportedAt = present == null ? Instant.MIN : presentReportedAt.plus(leap);
  }
}
