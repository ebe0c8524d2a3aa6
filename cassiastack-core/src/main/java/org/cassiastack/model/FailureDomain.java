package org.cassiastack.model;

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
}
