package org.cassiastack.model;

/**
 * A back end that runs tasks of one service.
 *
 * @param id its identity
 * @param service the service that it offers
 * @param worker the worker that it runs on
 * @param slots number of tasks that it runs at a time
 * @param connections number of connections that it accepts at a time
 * @since 0.1
 */
public record Minion(MinionId id, ServiceName service, Worker worker, int slots, int connections) {
  /** Returns the failure domain of the minion, that of its worker. */
  public FailureDomain failureDomain() {
    return worker.failureDomain();
  }
}
