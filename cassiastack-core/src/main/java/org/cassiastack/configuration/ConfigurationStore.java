package org.cassiastack.configuration;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.cassiastack.model.ResultCode;

/**
 * The replicated state machine of configurations: the same commands in the same order give the same
 * answers at every member.
 *
 * <ol>
 *   <li>A change is accepted when its base is the revision in force, so one of several that race
 *       wins.
 *   <li>A change that was decided before gets the same answer again; another one under its id is
 *       refused.
 *   <li>The oldest decided changes are forgotten beyond {@link #MAX_RETAINED_DECISIONS}. A
 *       forgotten one that comes again is stale, since its base has long passed.
 * </ol>
 *
 * @since 0.1
 */
public final class ConfigurationStore {
  /** Largest number of decided changes that are remembered. */
  public static final int MAX_RETAINED_DECISIONS = 32_768;

  private final int capacity;
  private final Map<ChangeId, DecidedChange> decided = new LinkedHashMap<>();
  private Configuration inForce = Configuration.EMPTY;

  private ConfigurationStore(int capacity) {
    this.capacity = capacity;
  }

  /** Makes a store with nothing in force. */
  public static ConfigurationStore create() {
    return new ConfigurationStore(MAX_RETAINED_DECISIONS);
  }

  /** Makes a store that remembers fewer decided changes. */
  static ConfigurationStore withCapacity(int capacity) {
    return new ConfigurationStore(capacity);
  }

  /** Returns the configuration in force. */
  public Configuration inForce() {
    return inForce;
  }

  /** Decides on a command. */
  public ApplyResult apply(ConfigurationCommand c) {
    ChangeDigest digest = ChangeDigest.of(c.content());
    DecidedChange known = decided.get(c.changeId());
    if (known != null) {
      return known.digest().equals(digest)
          ? known.result()
          : new ApplyResult(ResultCode.CHANGE_ID_REUSED, inForce.revision());
    }
    ApplyResult result = decide(c);
    remember(new DecidedChange(c.changeId(), digest, result));
    return result;
  }

  /** Returns the whole state. */
  public ConfigurationState state() {
    return new ConfigurationState(inForce, decided.values().stream().toList());
  }

  /** Takes over a state in place of the present one. */
  public void restore(ConfigurationState state) {
    inForce = state.inForce();
    decided.clear();
    state.decided().forEach(this::remember);
  }

  private ApplyResult decide(ConfigurationCommand c) {
    if (!c.base().equals(inForce.revision())) {
      return new ApplyResult(ResultCode.STALE_BASE, inForce.revision());
    }
    inForce = c.content().withRevision(inForce.revision().next());
    return new ApplyResult(ResultCode.ACCEPTED, inForce.revision());
  }

  private void remember(DecidedChange d) {
    decided.put(d.changeId(), d);
    Iterator<ChangeId> oldest = decided.keySet().iterator();
    while (decided.size() > capacity) {
      oldest.next();
      oldest.remove();
    }
  }
}
