package org.cassiastack.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.cassiastack.model.NodeId;

/**
 * Divides one quota of a customer among the coordinators, so that the shares follow the demand and
 * their sum never exceeds the quota.
 *
 * <ol>
 *   <li>Each coordinator always holds a floor, a share that it may use without a grant, for example
 *       while it is isolated.
 *   <li>The rest is divided by max-min fairness among the coordinators whose demand exceeds the
 *       floor.
 *   <li>A share expires after its validity. Quota that one coordinator no longer needs is granted
 *       to another coordinator only after the share of the first coordinator was reduced by a new
 *       grant or has expired.
 * </ol>
 *
 * <pre>{@code
 * QuotaAllocator allocator = QuotaAllocator.of(1_000, 3, Duration.ofSeconds(5));
 * double share = allocator.grant(self, demand, now);
 * }</pre>
 *
 * @since 0.1
 */
public final class QuotaAllocator {
  /** The floor as a fraction of an equal share of the quota. */
  public static final double FLOOR_FRACTION = 0.25;

  private final double total;
  private final int coordinators;
  private final Duration validity;
  private final Map<NodeId, Allocation> allocations = new HashMap<>();

  private QuotaAllocator(double total, int coordinators, Duration validity) {
    this.total = total;
    this.coordinators = coordinators;
    this.validity = validity;
  }

  /**
   * Creates an allocator that has granted no share yet, so that each coordinator holds its floor.
   *
   * @param total the quota that is divided; shares, floors and demands have the same unit
   * @param coordinators maximum number of coordinators
   * @param validity how long a share may be used after it was requested
   */
  public static QuotaAllocator of(double total, int coordinators, Duration validity) {
    return new QuotaAllocator(total, coordinators, validity);
  }

  /** Returns the part of the quota that a coordinator may use without a valid share. */
  public double floor() {
    return FLOOR_FRACTION * total / coordinators;
  }

  /**
   * Grants a share to a coordinator.
   *
   * @param coordinator the coordinator that requests a share
   * @param demand the part of the quota that the coordinator could use
   * @param now the current time
   * @return the part of the quota that the coordinator may use until the validity has passed
   */
  public double grant(NodeId coordinator, double demand, Instant now) {
    allocations.values().removeIf(a -> !now.isBefore(a.expiresAt));
    Map<NodeId, Double> demands = new TreeMap<>(NodeId.BY_NAME);
    allocations.forEach((n, a) -> demands.put(n, a.demand));
    demands.put(coordinator, demand);
    double fairShare = fairShares(demands).getOrDefault(coordinator, floor());
    double remaining = total;
    for (Map.Entry<NodeId, Allocation> e : allocations.entrySet()) {
      remaining -= e.getKey().equals(coordinator) ? 0 : e.getValue().share;
    }
    long others = allocations.keySet().stream().filter(n -> !n.equals(coordinator)).count();
    remaining -= floor() * (coordinators - 1 - others);
    double share = Math.max(floor(), Math.min(fairShare, remaining));
    allocations.put(coordinator, new Allocation(share, demand, now.plus(validity)));
    return share;
  }

  private Map<NodeId, Double> fairShares(Map<NodeId, Double> demands) {
    Map<NodeId, Double> shares = new HashMap<>();
    double remaining = total - floor() * (coordinators - demands.size());
    Map<NodeId, Double> unsatisfied = new TreeMap<>(NodeId.BY_NAME);
    unsatisfied.putAll(demands);
    boolean changed = true;
    while (changed && !unsatisfied.isEmpty()) {
      double equal = remaining / unsatisfied.size();
      changed = false;
      for (Map.Entry<NodeId, Double> e : Map.copyOf(unsatisfied).entrySet()) {
        double requested = Math.max(floor(), e.getValue());
        if (requested <= equal) {
          shares.put(e.getKey(), requested);
          remaining -= requested;
          unsatisfied.remove(e.getKey());
          changed = true;
        }
      }
    }
    for (NodeId n : unsatisfied.keySet()) {
      shares.put(n, remaining / unsatisfied.size());
    }
    return shares;
  }

  private record Allocation(double share, double demand, Instant expiresAt) {}
}
