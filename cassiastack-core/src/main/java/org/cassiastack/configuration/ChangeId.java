package org.cassiastack.configuration;

import java.util.UUID;

/**
 * Identity of an operators' change. A change that is submitted again has the same id.
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
