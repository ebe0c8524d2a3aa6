package org.cassiastack.model;

import java.util.ArrayList;
import java.util.List;

/**
 * Stores values in memory and represents each value by a payload with its index, so that tests need
 * no encoding.
 */
public final class PayloadValueStore {
  private final List<Object> values = new ArrayList<>();

  /** Stores a value and returns the payload that represents the value. */
  public Payload store(Object value) {
    values.add(value);
    return Payload.ofText(Integer.toString(values.size() - 1));
  }

  /** Returns the value that a payload represents. */
  public Object load(Payload payload) {
    return values.get(Integer.parseInt(payload.toText()));
  }
}
