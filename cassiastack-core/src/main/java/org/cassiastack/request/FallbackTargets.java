package org.cassiastack.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.fallback.FallbackNode;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;

/**
 * The fallback dispatchers that a process knows, in the order in which it uses them: those of its
 * own failure domain, then those of the following domains by name, so that the load of a domain
 * without dispatchers goes to one domain and that of another such domain to another one.
 *
 * @since 0.4
 */
public final class FallbackTargets {
  /**
   * Time without the leader after which agents and entries turn to a fallback dispatcher. Leaders
   * are heard every 200 ms, so two messages may be lost; most elections are over by then.
   */
  public static final Duration ENGAGE_DELAY = Duration.ofMillis(450);

  /** Time for which a leader is heard before connections to fallback dispatchers are closed. */
  public static final Duration HANG_UP_DELAY = Duration.ofSeconds(3);

  private FallbackDirectory directory = new FallbackDirectory(0, 0, List.of());
  private long configurationVersion;

  private FallbackTargets() {}

  /** Creates targets without any fallback dispatcher. */
  public static FallbackTargets create() {
    return new FallbackTargets();
  }

  /** Handles a directory. One of an earlier leader or configuration is ignored. */
  public void onDirectory(FallbackDirectory d) {
    configurationVersion = Math.max(configurationVersion, d.configurationVersion());
    boolean newer =
        d.term() > directory.term()
            || (d.term() == directory.term()
                && d.configurationVersion() >= directory.configurationVersion());
    if (newer) {
      directory = d;
    }
  }

  /** Returns the highest version of the configuration that a directory has named. */
  public long configurationVersion() {
    return configurationVersion;
  }

  /** Returns whether no fallback dispatcher is known. */
  public boolean isEmpty() {
    return directory.nodes().isEmpty();
  }

  /** Returns the fallback dispatchers in the order in which a process of the domain uses them. */
  public List<NodeId> inOrderFor(FailureDomain domain) {
    String own = domain.name();
    List<FallbackNode> nodes = new ArrayList<>(directory.nodes());
    // The sort is stable: the nodes of one domain stay in the order of the directory.
    nodes.sort(
        Comparator.<FallbackNode, Boolean>comparing(n -> n.domain().name().compareTo(own) < 0)
            .thenComparing(n -> n.domain().name()));
    return nodes.stream().map(FallbackNode::node).toList();
  }
}
