package org.cassiastack.model;

/**
 * The customer on whose behalf a caller submits jobs. Quotas apply per customer.
 *
 * @param name name as declared in the configuration
 * @since 0.1
 */
public record Customer(String name) {
  @Override
  public String toString() {
    return name;
  }
}
