package org.cassiastack.bench.slopes;

/** Measures the heap in use after garbage collection. */
final class HeapUsage {
  private static final int COLLECTION_COUNT = 4;

  private HeapUsage() {}

  /** Collects garbage several times and returns the bytes still in use. */
  static long bytes() {
    for (int i = 0; i < COLLECTION_COUNT; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
