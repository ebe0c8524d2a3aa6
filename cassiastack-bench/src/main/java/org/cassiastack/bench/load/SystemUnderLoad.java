package org.cassiastack.bench.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.cassiastack.model.CassiaException;

/**
 * A system to which a load run sends jobs.
 *
 * @since 0.1
 */
public interface SystemUnderLoad extends AutoCloseable {
  /** Returns the address to which callers connect, for each entry. */
  List<InetSocketAddress> callerAddresses();

  /** Returns the operator address of the first entry, or an empty string when it is unknown. */
  String operatorAddress();

  /** Returns the number of task starts so far, or -1 when it is unknown. */
  long taskStarts();

  /**
   * Returns how often each task started, as counted by the minions, by the text form of the task
   * id; empty when unknown.
   */
  Map<String, Integer> startsByTask();

  /**
   * Performs an action on one daemon.
   *
   * @param action what happens to the daemon
   * @param node name of the daemon, such as {@code agent-3}
   * @throws CassiaException when the daemon is unknown, the action fails or the system does not
   *     support the action
   */
  void perform(NodeAction action, String node) throws CassiaException;

  @Override
  void close();
}
