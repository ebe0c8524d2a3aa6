package org.cassiastack.model;

import java.util.ArrayList;
import java.util.List;

/** Keeps values and stands for each by its number, so that tests need no encoding. */
public final class PayloadValueStore {
  private final List<Object> values = new ArrayList<>();

  /** Keeps a value and returns what stands for it. */
  public Payload store(Object value) {
    values.add(value);
    return Payload.ofText(Integer.toString(values.size() - 1));
  }

  /** Returns the value that a payload stands for. */
  public Object load(Payload payload) {
    return values.get(Integer.parseInt(payload.toText()));
  }
}
