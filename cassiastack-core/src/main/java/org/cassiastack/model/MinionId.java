package org.cassiastack.model;

import org.jspecify.annotations.Nullable;

/**
 * Identity of one minion.
 *
 * @param name name as given in the settings of its agent
 * @since 0.1
 */
public record MinionId(String name) {
  @Override
  public String toString() {
    return name;
  }

  // Spelled out, because the generated methods are linked at the first use, which delays each
  // start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof MinionId o && name.equals(o.name);
  }

  @Override
  public int hashCode() {
    return name.hashCode();
  }
}
