package org.cassiastack.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.cassiastack.model.NodeId;

/**
 * Divides one quota of a customer among the coordinators so that shares follow demand and never add
 * up to more than the whole.
 *
 * <ol>
 *   <li>Each coordinator always holds a floor, which it may use when it is cut off.
 *   <li>The rest goes to those that ask for more, by max-min fairness.
 *   <li>A share is valid for a time. What one coordinator gives up goes to another only after it
 *       was granted less, or after its share has run out.
 * </ol>
 *
 * <pre>{@code
 * QuotaShares shares = QuotaShares.of(1_000, Duration.ofSeconds(5));
 * double mine = shares.grant(self, demand, now);
 * }</pre>
 *
 * @since 0.1
 */
public final class QuotaAllocator {
  /** Part of an equal share that a coordinator holds in any case. */
  public static final double FLOOR_FRACTION = 0.25;

  private final double total;
  private final int coordinators;
  private final Duration validity;
  private final Map<NodeId, Held> held = new HashMap<>();

  private QuotaAllocator(double total, int coordinators, Duration validity) {
    this.total = total;
    this.coordinators = coordinators;
    this.validity = validity;
  }

  /**
   * Makes a division in which each coordinator holds its floor.
   *
   * @param total the whole quota
   * @param coordinators largest number of coordinators
   * @param validity how long a share may be used after it was asked for
   */
  public static QuotaAllocator of(double total, int coordinators, Duration validity) {
    return new QuotaAllocator(total, coordinators, validity);
  }

  /** Returns what a coordinator may use without a valid share. */
  public double floor() {
    return FLOOR_FRACTION * total / coordinators;
  }

  /**
   * Grants a share to a coordinator.
   *
   * @param coordinator who asks
   * @param demand how much it could use
   * @param now the present time
   * @return how much it may use until the validity has passed
   */
  public double grant(NodeId coordinator, double demand, Instant now) {
    held.values().removeIf(h -> !now.isBefore(h.until));
    Map<NodeId, Double> demands = new TreeMap<>(NodeId.BY_NAME);
    held.forEach((n, h) -> demands.put(n, h.demand));
    demands.put(coordinator, demand);
    double fair = fairShares(demands).getOrDefault(coordinator, floor());
    double left = total;
    for (Map.Entry<NodeId, Held> e : held.entrySet()) {
      left -= e.getKey().equals(coordinator) ? 0 : e.getValue().share;
    }
    long others = held.keySet().stream().filter(n -> !n.equals(coordinator)).count();
    left -= floor() * (coordinators - 1 - others);
    double share = Math.max(floor(), Math.min(fair, left));
    held.put(coordinator, new Held(share, demand, now.plus(validity)));
    return share;
  }

  private Map<NodeId, Double> fairShares(Map<NodeId, Double> demands) {
    Map<NodeId, Double> shares = new HashMap<>();
    double left = total - floor() * (coordinators - demands.size());
    Map<NodeId, Double> open = new TreeMap<>(NodeId.BY_NAME);
    open.putAll(demands);
    boolean settled = true;
    while (settled && !open.isEmpty()) {
      double equal = left / open.size();
      settled = false;
      for (Map.Entry<NodeId, Double> e : Map.copyOf(open).entrySet()) {
        double wanted = Math.max(floor(), e.getValue());
        if (wanted <= equal) {
          shares.put(e.getKey(), wanted);
          left -= wanted;
          open.remove(e.getKey());
          settled = true;
        }
      }
    }
    for (NodeId n : open.keySet()) {
      shares.put(n, left / open.size());
    }
    return shares;
  }

  private record Held(double share, double demand, Instant until) {}
}
