package org.cassiastack.runs;

/**
 * Fences of the holders of agents where fallback dispatchers are in use. The fence of a fallback
 * dispatcher lies between that of the leader whose state it dispatches by and that of the next
 * leader.
 *
 * @since 0.4
 */
public final class Fences {
  private static final long FENCES_PER_TERM = 2;

  private Fences() {}

  /** Returns the fence of the leader of a term. */
  public static long ofLeader(long term) {
    return term * FENCES_PER_TERM;
  }

  /** Returns the fence of the fallback dispatchers that know the leader of a term. */
  public static long ofFallback(long term) {
    return ofLeader(term) + 1;
  }

  /** Returns whether a fence is that of a fallback dispatcher. */
  public static boolean isFallback(long fence) {
    return fence % FENCES_PER_TERM != 0;
  }
}
