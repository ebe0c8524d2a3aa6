package org.cassiastack.model;

import java.util.Comparator;
import org.jspecify.annotations.Nullable;

/**
 * Identity of one process of the system, which stays the same across restarts.
 *
 * @param name name as given in the settings of the process
 * @since 0.1
 */
public record NodeId(String name) {
  /** Orders nodes by name. */
  public static final Comparator<NodeId> BY_NAME = Comparator.comparing(NodeId::name);

  @Override
  public String toString() {
    return name;
  }

  // Spelled out, because the generated methods are linked at the first use, which delays each
  // start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof NodeId o && name.equals(o.name);
  }

  @Override
  public int hashCode() {
    return name.hashCode();
  }
}
