package org.cassiastack.bench.load;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.bench.local.LocalSystem;
import org.cassiastack.bench.local.Node;
import org.cassiastack.bench.minion.StandInMinion;
import org.cassiastack.model.CassiaException;

/** A local system; its stand-in minions count every task start. */
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
    InetSocketAddress operators = system.operatorAddresses().get(0);
    return operators.getAddress().getHostAddress() + ":" + operators.getPort();
  }

  @Override
  public long taskStarts() {
    return system.minions().stream().mapToLong(StandInMinion::startCount).sum();
  }

  @Override
  public Map<String, Integer> startsByTask() {
    Map<String, Integer> startsByTask = new HashMap<>();
    system
        .minions()
        .forEach(
            minion ->
                minion
                    .startsByTask()
                    .forEach((task, count) -> startsByTask.merge(task, count, Integer::sum)));
    return startsByTask;
  }

  @Override
  public void perform(NodeAction action, String node) throws CassiaException {
    Node daemon = system.node(node);
    switch (action) {
      case STOP -> daemon.stop();
      case KILL -> daemon.kill();
      case PAUSE -> daemon.pause();
      case RESUME -> daemon.resume();
      case START -> daemon.start();
      default -> throw new IllegalArgumentException(action.name());
    }
  }

  @Override
  public void close() {
    system.close();
  }
}
