package org.cassiastack.bench.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;

/** A running system that was not started by this tool; only its caller addresses are known. */
final class RemoteSystem implements SystemUnderLoad {
  private static final long UNKNOWN = -1;

  private final List<InetSocketAddress> entries;

  RemoteSystem(List<InetSocketAddress> entries) {
    this.entries = List.copyOf(entries);
  }

  @Override
  public List<InetSocketAddress> callerAddresses() {
    return entries;
  }

  @Override
  public String operatorAddress() {
    return "";
  }

  @Override
  public long taskStarts() {
    return UNKNOWN;
  }

  @Override
  public Map<String, Integer> startsByTask() {
    return Map.of();
  }

  @Override
  public void perform(NodeAction action, String node) throws CassiaException {
    throw CassiaException.of(
        Refusals.malformed("script actions on processes need a local system, without --address"));
  }

  @Override
  public void close() {
    // The system was not started by this tool and keeps running.
  }
}
