package org.cassiastack.configuration;

import java.util.Map;
import org.cassiastack.model.Customer;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Revision;
import org.cassiastack.model.ServiceName;

/**
 * The declared state of the whole system at a revision. A configuration is always applied as a
 * whole.
 *
 * @param revision number of the accepted change
 * @param services the services by name
 * @param failureDomains the failure domains by name
 * @param customers the customers by name
 * @since 0.1
 */
public record Configuration(
    Revision revision,
    Map<ServiceName, ServiceSpec> services,
    Map<FailureDomain, FailureDomainSpec> failureDomains,
    Map<Customer, CustomerSpec> customers) {
  /** The configuration before the first accepted change: nothing is declared. */
  public static final Configuration EMPTY =
      new Configuration(Revision.NONE, Map.of(), Map.of(), Map.of());

  /** Creates a configuration; the maps are copied. */
  public Configuration {
    services = Map.copyOf(services);
    failureDomains = Map.copyOf(failureDomains);
    customers = Map.copyOf(customers);
  }

  /** Returns the same content with another revision. */
  public Configuration withRevision(Revision newRevision) {
    return new Configuration(newRevision, services, failureDomains, customers);
  }

  /** Returns whether tasks may start in a failure domain: it is declared and in service. */
  public boolean allowsStartsIn(FailureDomain domain) {
    FailureDomainSpec spec = failureDomains.get(domain);
    return spec != null && spec.inService();
  }
}
