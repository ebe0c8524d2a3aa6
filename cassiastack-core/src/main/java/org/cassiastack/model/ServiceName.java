package org.cassiastack.model;

import org.jspecify.annotations.Nullable;

/**
 * Name of a service that minions offer and jobs request.
 *
 * @param name name as declared in the configuration
 * @since 0.1
 */
public record ServiceName(String name) {
  @Override
  public String toString() {
    return name;
  }

  // Spelled out, because the generated methods are linked at the first use, which delays each
  // start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof ServiceName o && name.equals(o.name);
  }

  @Override
  public int hashCode() {
    return name.hashCode();
  }
}
