package org.cassiastack.model;

/**
 * A back end that runs tasks of one service.
 *
 * @param id identity of the minion
 * @param service the service that the minion offers
 * @param worker the worker that the minion runs on
 * @param slots number of tasks that the minion runs at a time
 * @param connections number of connections that the minion accepts at a time
 * @since 0.1
 */
public record Minion(MinionId id, ServiceName service, Worker worker, int slots, int connections) {
  /** Returns the failure domain of the minion's worker. */
  public FailureDomain failureDomain() {
    return worker.failureDomain();
  }
}
