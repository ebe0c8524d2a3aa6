package org.cassiastack.configuration;

import java.util.UUID;

/**
 * Identity of an operators' change. Whoever sends the change again uses the same one.
 *
 * @param value unique in the whole system
 * @since 0.1
 */
public record ChangeId(UUID value) {
  @Override
  public String toString() {
    return value.toString();
  }
}
