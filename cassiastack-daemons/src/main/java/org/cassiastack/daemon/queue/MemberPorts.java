package org.cassiastack.daemon.queue;

/**
 * The ports at which processes accept connections of other processes. They are the same on all
 * machines; a control member and an entry may be on one machine.
 *
 * @param members port at which all control members listen
 * @param fallback port at which all entries listen, or 0 if fallback dispatchers are not used
 * @since 0.4
 */
public record MemberPorts(int members, int fallback) {
  /** Returns the ports of a system without fallback dispatchers. */
  public static MemberPorts withoutFallback(int members) {
    return new MemberPorts(members, 0);
  }

  boolean usesFallback() {
    return fallback != 0;
  }
}
