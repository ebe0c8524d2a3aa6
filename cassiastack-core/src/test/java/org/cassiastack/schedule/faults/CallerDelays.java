package org.cassiastack.schedule.faults;

import java.util.Random;

/**
 * How late entries learn of their callers. Three in ten requests, and three in ten losses of a
 * connection, are late, as after lost packets; a loss is never noticed before its request.
 *
 * @param maxOfRequest maximum time in ms that a late request takes; 0 if none is late
 * @param maxOfLoss maximum time in ms until a loss is noticed late; 0 if none is late
 */
record CallerDelays(int maxOfRequest, int maxOfLoss) {
  static CallerDelays none() {
    return new CallerDelays(0, 0);
  }

  static CallerDelays ofRequests(int maxMillis) {
    return new CallerDelays(maxMillis, 0);
  }

  static CallerDelays ofLosses(int maxMillis) {
    return new CallerDelays(0, maxMillis);
  }

  int ofRequest(Random random) {
    return of(maxOfRequest, random);
  }

  int ofLoss(Random random) {
    return of(maxOfLoss, random);
  }

  private static int of(int max, Random random) {
    return max > 0 && random.nextInt(10) < 3 ? 1 + random.nextInt(max) : 0;
  }
}
