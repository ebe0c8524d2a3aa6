package org.cassiastack.configuration;

import java.util.HashMap;
import java.util.Map;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Revision;

/** Creates configurations for tests. */
public final class Configurations {
  /** The failure domain whose state varies in tests. */
  public static final FailureDomain NORTH = new FailureDomain("north");

  /** A failure domain that is always in service. */
  public static final FailureDomain SOUTH = new FailureDomain("south");

  private Configurations() {}

  /** Returns a configuration of both failure domains, with the north one in service or not. */
  public static Configuration withNorth(long revision, boolean inService) {
    Map<FailureDomain, FailureDomainSpec> domains = new HashMap<>();
    domains.put(NORTH, new FailureDomainSpec(NORTH, "steppe", inService));
    domains.put(SOUTH, new FailureDomainSpec(SOUTH, "steppe", true));
    return new Configuration(new Revision(revision), Map.of(), domains, Map.of());
  }

  /** Returns a configuration whose only failure domain has a given number in its name. */
  public static Configuration numbered(int number) {
    FailureDomain domain = new FailureDomain("domain-" + number);
    return new Configuration(
        Revision.NONE,
        Map.of(),
        Map.of(domain, new FailureDomainSpec(domain, "steppe", true)),
        Map.of());
  }
}
