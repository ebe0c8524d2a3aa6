package org.cassiastack.model;

/**
 * Thrown when an operation is refused or fails; carries the {@link Refusal} that gives the reason.
 *
 * @since 0.1
 */
public final class CassiaException extends Exception {
  private final Refusal refusal;

  private CassiaException(Refusal refusal) {
    super(refusal.message());
    this.refusal = refusal;
  }

  /** Creates an exception that carries a refusal and has the message of the refusal. */
  public static CassiaException of(Refusal refusal) {
    return new CassiaException(refusal);
  }

  /** Returns the refusal that this exception carries. */
  public Refusal refusal() {
    return refusal;
  }
}
