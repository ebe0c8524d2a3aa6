package org.cassiastack.bench.load;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.bench.local.LocalSystem;
import org.cassiastack.bench.local.Node;
import org.cassiastack.bench.minion.StandInMinion;
import org.cassiastack.model.CassiaException;

/** A local system whose minions count every start. */
final class LocalSystemUnderLoad implements SystemUnderLoad {
  private final LocalSystem system;

  LocalSystemUnderLoad(LocalSystem system) {
    this.system = system;
  }

  @Override
  public List<InetSocketAddress> callerAddresses() {
    return system.callerAddresses();
  }

  @Override
  public String operatorAddress() {
    InetSocketAddress a = system.operatorAddresses().get(0);
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }

  @Override
  public long taskStarts() {
    return system.minions().stream().mapToLong(StandInMinion::startCount).sum();
  }

  @Override
  public Map<String, Integer> startsByTask() {
    Map<String, Integer> all = new HashMap<>();
    system
        .minions()
        .forEach(m -> m.startsByTask().forEach((t, n) -> all.merge(t, n, Integer::sum)));
    return all;
  }

  @Override
  public void perform(NodeAction action, String node) throws CassiaException {
    Node n = system.node(node);
    switch (action) {
      case STOP -> n.stop();
      case KILL -> n.kill();
      case PAUSE -> n.pause();
      case RESUME -> n.resume();
      case START -> n.start();
      default -> throw new IllegalArgumentException(action.name());
    }
  }

  @Override
  public void close() {
    system.close();
  }
}
