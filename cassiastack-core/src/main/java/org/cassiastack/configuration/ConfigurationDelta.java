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
 * The differences between two revisions. A delta from {@link Revision#NONE} is a snapshot.
 *
 * @param from the revision to which the delta applies
 * @param to the revision that results
 * @param services services that are new or have changed
 * @param failureDomains failure domains that are new or have changed
 * @param customers customers that are new or have changed
 * @param removedServices services that are no longer declared
 * @param removedFailureDomains failure domains that are no longer declared
 * @param removedCustomers customers that are no longer declared
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
  /** Returns the delta that leads from one configuration to another. */
  public static ConfigurationDelta between(Configuration before, Configuration after) {
    return new ConfigurationDelta(
        before.revision(),
        after.revision(),
        changed(before.services(), after.services()),
        changed(before.failureDomains(), after.failureDomains()),
        changed(before.customers(), after.customers()),
        removed(before.services(), after.services()),
        removed(before.failureDomains(), after.failureDomains()),
        removed(before.customers(), after.customers()));
  }

  /** Returns a snapshot, which contains a whole configuration. */
  public static ConfigurationDelta snapshot(Configuration c) {
    return between(Configuration.EMPTY, c);
  }

  /** Returns whether this delta contains a whole configuration. */
  public boolean isSnapshot() {
    return from.equals(Revision.NONE);
  }

  /** Applies this delta to a configuration; a snapshot ignores it and returns its own content. */
  public Configuration applyTo(Configuration before) {
    Configuration c = isSnapshot() ? Configuration.EMPTY : before;
    return new Configuration(
        to,
        merged(c.services(), services, ServiceSpec::name, removedServices),
        merged(c.failureDomains(), failureDomains, FailureDomainSpec::name, removedFailureDomains),
        merged(c.customers(), customers, CustomerSpec::name, removedCustomers));
  }

  private static <K, V> List<V> changed(Map<K, V> before, Map<K, V> after) {
    return after.entrySet().stream()
        .filter(e -> !e.getValue().equals(before.get(e.getKey())))
        .map(Map.Entry::getValue)
        .toList();
  }

  private static <K, V> List<K> removed(Map<K, V> before, Map<K, V> after) {
    return before.keySet().stream().filter(k -> !after.containsKey(k)).toList();
  }

  private static <K, V> Map<K, V> merged(
      Map<K, V> before, List<V> changed, Function<V, K> name, List<K> removed) {
    Map<K, V> after = new HashMap<>(before);
    changed.forEach(v -> after.put(name.apply(v), v));
    after.keySet().removeAll(removed);
    return after;
  }
}
