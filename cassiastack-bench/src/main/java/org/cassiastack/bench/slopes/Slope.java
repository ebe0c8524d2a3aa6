package org.cassiastack.bench.slopes;

import java.io.PrintStream;

/**
 * Measures how a cost grows with a quantity, such as the memory of an entry with the number of
 * agents.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface Slope {
  /**
   * Measures the cost at several values of the quantity and prints one line for each.
   *
   * @param out receives the lines
   */
  void measure(PrintStream out) throws Exception;
}
