package org.cassiastack.model;

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
}
