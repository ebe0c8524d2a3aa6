package org.cassiastack.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.cassiastack.model.Customer;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Revision;
import org.cassiastack.model.ServiceName;

/**
 * What changed between two revisions. A delta from {@link Revision#NONE} is a snapshot.
 *
 * @param from the revision that it applies to
 * @param to the revision that it gives
 * @param services declared anew or otherwise
 * @param failureDomains declared anew or otherwise
 * @param customers declared anew or otherwise
 * @param removedServices declared no more
 * @param removedFailureDomains declared no more
 * @param removedCustomers declared no more
 * @since 0.1
 */
public record ConfigurationDelta(
    Revision from,
    Revision to,
    List<ServiceSpec> services,
    List<FailureDomainSpec> failureDomains,
    List<CustomerSpec> customers,
    List<ServiceName> removedServices,
    List<FailureDomain> removedFailureDomains,
    List<Customer> removedCustomers) {
  /** Returns what leads from one configuration to another. */
  public static ConfigurationDelta between(Configuration a, Configuration b) {
    return new ConfigurationDelta(
        a.revision(),
        b.revision(),
        changed(a.services(), b.services()),
        changed(a.failureDomains(), b.failureDomains()),
        changed(a.customers(), b.customers()),
        removed(a.services(), b.services()),
        removed(a.failureDomains(), b.failureDomains()),
        removed(a.customers(), b.customers()));
  }

  /** Returns a configuration as a whole. */
  public static ConfigurationDelta snapshot(Configuration c) {
    return between(Configuration.EMPTY, c);
  }

  /** Tells whether this delta holds the whole configuration. */
  public boolean isSnapshot() {
    return from.equals(Revision.NONE);
  }

  /** Returns the configuration that a snapshot holds, or that this delta makes of another. */
  public Configuration applyTo(Configuration before) {
    Configuration c = isSnapshot() ? Configuration.EMPTY : before;
    return new Configuration(
        to,
        merged(c.services(), services, ServiceSpec::name, removedServices),
        merged(c.failureDomains(), failureDomains, FailureDomainSpec::name, removedFailureDomains),
        merged(c.customers(), customers, CustomerSpec::name, removedCustomers));
  }

  private static <K, V> List<V> changed(Map<K, V> a, Map<K, V> b) {
    return b.entrySet().stream()
        .filter(e -> !e.getValue().equals(a.get(e.getKey())))
        .map(Map.Entry::getValue)
        .toList();
  }

  private static <K, V> List<K> removed(Map<K, V> a, Map<K, V> b) {
    return a.keySet().stream().filter(k -> !b.containsKey(k)).toList();
  }

  private static <K, V> Map<K, V> merged(
      Map<K, V> before, List<V> changed, Function<V, K> name, List<K> removed) {
    Map<K, V> after = new HashMap<>(before);
    changed.forEach(v -> after.put(name.apply(v), v));
    after.keySet().removeAll(removed);
    return after;
  }
}
