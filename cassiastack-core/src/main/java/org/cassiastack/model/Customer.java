package org.cassiastack.model;

/**
 * Whom a caller acts for; quotas are held per customer.
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
