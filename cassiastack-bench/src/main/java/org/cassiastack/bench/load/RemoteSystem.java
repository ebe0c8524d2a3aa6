package org.cassiastack.bench.load;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;

/** A system that runs elsewhere and is known by the addresses of its entries. */
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
        Refusals.malformed("processes of a system that runs elsewhere cannot be acted on"));
  }

  @Override
  public void close() {
    // It was not started here.
  }
}
