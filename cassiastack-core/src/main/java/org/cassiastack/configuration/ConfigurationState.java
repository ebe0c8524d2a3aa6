package org.cassiastack.configuration;

import java.util.List;

/**
 * The whole state of a {@link ConfigurationStore}, used for snapshots.
 *
 * @param inForce the configuration in force
 * @param decided the retained decisions, oldest first
 * @since 0.1
 */
public record ConfigurationState(Configuration inForce, List<DecidedChange> decided) {
  /** Creates a state; the list is copied. */
  public ConfigurationState {
    decided = List.copyOf(decided);
  }
}
