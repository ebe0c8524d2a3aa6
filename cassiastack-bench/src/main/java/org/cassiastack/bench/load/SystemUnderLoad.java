package org.cassiastack.bench.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.cassiastack.model.CassiaException;

/**
 * A system that takes load.
 *
 * @since 0.1
 */
public interface SystemUnderLoad extends AutoCloseable {
  /** Returns the callers' address of each entry. */
  List<InetSocketAddress> callerAddresses();

  /** Returns the operators' address of the first entry, or an empty text when it is not known. */
  String operatorAddress();

  /** Returns the number of task starts so far, or -1 when it cannot be known. */
  long taskStarts();

  /** Returns the number of starts of each task, as the minions counted them. */
  Map<String, Integer> startsByTask();

  /**
   * Does something to one process.
   *
   * @param action what to do
   * @param node name of the process
   * @throws CassiaException when this system cannot do it
   */
  void perform(NodeAction action, String node) throws CassiaException;

  @Override
  void close();
}
