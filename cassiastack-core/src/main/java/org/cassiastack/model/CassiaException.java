package org.cassiastack.model;

/**
 * A refusal on its way to whoever asked.
 *
 * @since 0.1
 */
public final class CassiaException extends Exception {
  private final Refusal refusal;

  private CassiaException(Refusal refusal) {
    super(refusal.message());
    this.refusal = refusal;
  }

  /** Wraps a refusal. */
  public static CassiaException of(Refusal refusal) {
    return new CassiaException(refusal);
  }

  /** Returns the refusal that this exception carries. */
  public Refusal refusal() {
    return refusal;
  }
}
