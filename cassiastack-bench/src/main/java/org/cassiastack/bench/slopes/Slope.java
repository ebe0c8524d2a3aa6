package org.cassiastack.bench.slopes;

import java.io.PrintStream;

/**
 * Measures how one cost grows.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface Slope {
  /**
   * Measures and prints one line for each point.
   *
   * @param out where lines go
   */
  void measure(PrintStream out) throws Exception;
}
