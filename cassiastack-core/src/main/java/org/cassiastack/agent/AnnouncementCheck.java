package org.cassiastack.agent;

import java.time.Duration;
import java.time.Instant;
import org.cassiastack.runs.MinionIncarnation;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether an announcement may be of the agent's minion. Other announcements are outdated,
 * or come from another writer.
 */
final class AnnouncementCheck {
  /**
   * How far the start time of an incarnation may be ahead of the agent's clock. A time further
   * ahead would make every later incarnation look outdated.
   */
  private static final Duration MAX_START_TIME_LEAD = Duration.ofMinutes(10);

  private AnnouncementCheck() {}

  /**
   * Returns whether an announcement may be followed. One of an earlier incarnation may be only
   * while the current one does not answer: the current one may then come from another writer.
   *
   * @param announced the incarnation that the announcement names
   * @param current the incarnation that the agent follows, or null if there is none
   * @param currentAnswers whether {@code current} has answered a call, not long ago
   */
  static boolean isPlausible(
      MinionIncarnation announced,
      @Nullable MinionIncarnation current,
      boolean currentAnswers,
      Instant now) {
    boolean fromFuture = announced.startedAtMillis() > now.plus(MAX_START_TIME_LEAD).toEpochMilli();
    boolean older = current != null && announced.startedAtMillis() < current.startedAtMillis();
    return !fromFuture && !(older && currentAnswers);
  }
}
