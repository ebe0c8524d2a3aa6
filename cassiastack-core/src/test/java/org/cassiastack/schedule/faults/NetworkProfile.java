package org.cassiastack.schedule.faults;

/**
 * What becomes of connections and their messages while a link is cut.
 *
 * @param disconnectMillis time without data after which both ends count a connection as lost
 * @param holdsMessages whether messages of a cut link are delivered after its repair, in order, if
 *     the connection still exists, as TCP does; they are dropped otherwise
 * @param minCutMillis minimum duration of a cut
 */
record NetworkProfile(int disconnectMillis, boolean holdsMessages, int minCutMillis) {
  private static final int SHORT_DISCONNECT_MILLIS = 900;

  /** Messages of a cut link are lost, and no connection outlasts a cut. */
  static NetworkProfile dropping() {
    return new NetworkProfile(SHORT_DISCONNECT_MILLIS, false, SHORT_DISCONNECT_MILLIS + 1);
  }

  /** Connections outlast a cut that is shorter than a time, and deliver their messages after it. */
  static NetworkProfile holding(int disconnectMillis) {
    return new NetworkProfile(disconnectMillis, true, 1);
  }
}
