package org.cassiastack.model;

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
}
