package org.cassiastack.bench.slopes;

/** Heap in use after garbage collection. */
final class HeapUsage {
  private static final int COLLECTIONS = 4;

  private HeapUsage() {}

  /** Returns the bytes that are reachable. */
  static long bytes() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    Runtime r = Runtime.getRuntime();
    return r.totalMemory() - r.freeMemory();
  }
}
