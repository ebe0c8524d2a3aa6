package org.cassiastack.model;

import org.jspecify.annotations.Nullable;

/**
 * A set of workers that operators take out of service and return to service together.
 *
 * @param name name as declared in the configuration
 * @since 0.1
 */
public record FailureDomain(String name) {
  @Override
  public String toString() {
    return name;
  }

  // Spelled out, because the generated methods are linked at the first use, which delays each
  // start.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof FailureDomain o && name.equals(o.name);
  }

  @Override
  public int hashCode() {
    return name.hashCode();
  }
}
