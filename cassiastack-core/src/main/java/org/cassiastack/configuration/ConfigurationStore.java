package org.cassiastack.configuration;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cassiastack.model.ResultCode;

/**
 * The replicated state machine of configurations: the same commands in the same order give the same
 * results at every member.
 *
 * <ol>
 *   <li>A change is accepted if its base is the revision in force. Of several concurrent changes
 *       with the same base, only the first in the log is accepted.
 *   <li>A change that was decided before gets the same result again; another change with the same
 *       id is refused.
 *   <li>At most {@link #MAX_RETAINED_DECISIONS} decisions are retained; the oldest are dropped
 *       first. A change whose decision was dropped is refused as stale if it is submitted again,
 *       since its base is no longer in force.
 * </ol>
 *
 * @since 0.1
 */
public final class ConfigurationStore {
  /** Maximum number of retained decisions. */
  public static final int MAX_RETAINED_DECISIONS = 32_768;

  private final int capacity;
  private final Map<ChangeId, DecidedChange> decided = new LinkedHashMap<>();
  private Configuration inForce = Configuration.EMPTY;

  private ConfigurationStore(int capacity) {
    this.capacity = capacity;
  }

  /** Creates a store with an empty configuration in force. */
  public static ConfigurationStore create() {
    return new ConfigurationStore(MAX_RETAINED_DECISIONS);
  }

  /** Creates a store that retains at most a given number of decisions. */
  static ConfigurationStore withCapacity(int capacity) {
    return new ConfigurationStore(capacity);
  }

  /** Returns the configuration in force. */
  public Configuration inForce() {
    return inForce;
  }

  /** Decides on a command and returns the result. */
  public ApplyResult apply(ConfigurationCommand c) {
    ChangeDigest digest = ChangeDigest.of(c.content());
    DecidedChange previous = decided.get(c.changeId());
    if (previous != null) {
      return previous.digest().equals(digest)
          ? previous.result()
          : new ApplyResult(ResultCode.CHANGE_ID_REUSED, inForce.revision());
    }
    ApplyResult result = decide(c);
    retain(new DecidedChange(c.changeId(), digest, result));
    return result;
  }

  /** Returns the whole state, for a snapshot. */
  public ConfigurationState state() {
    return new ConfigurationState(inForce, decided.values().stream().toList());
  }

  /** Replaces the whole state by that of a snapshot. */
  public void restore(ConfigurationState state) {
    inForce = state.inForce();
    decided.clear();
    state.decided().forEach(this::retain);
  }

  private ApplyResult decide(ConfigurationCommand c) {
    if (!c.base().equals(inForce.revision())) {
      return new ApplyResult(ResultCode.STALE_BASE, inForce.revision());
    }
    inForce = c.content().withRevision(inForce.revision().next());
    return new ApplyResult(ResultCode.ACCEPTED, inForce.revision());
  }

  private void retain(DecidedChange d) {
    decided.put(d.changeId(), d);
    Iterator<ChangeId> oldest = decided.keySet().iterator();
    while (decided.size() > capacity) {
      oldest.next();
      oldest.remove();
    }
  }
}
