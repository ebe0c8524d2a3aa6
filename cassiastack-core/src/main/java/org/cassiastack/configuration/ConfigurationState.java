package org.cassiastack.configuration;

import java.util.List;

/**
 * Whole state of a {@link ConfigurationStore}, for snapshots.
 *
 * @param inForce the configuration in force
 * @param decided the changes that are remembered, oldest first
 * @since 0.1
 */
public record ConfigurationState(Configuration inForce, List<DecidedChange> decided) {
  /** Makes a state; the list is copied. */
  public ConfigurationState {
    decided = List.copyOf(decided);
  }
}
