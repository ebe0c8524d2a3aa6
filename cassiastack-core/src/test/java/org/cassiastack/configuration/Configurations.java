package org.cassiastack.configuration;

import java.util.HashMap;
import java.util.Map;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Revision;

/** Configurations for tests. */
public final class Configurations {
  /** A failure domain. */
  public static final FailureDomain NORTH = new FailureDomain("north");

  /** Another one. */
  public static final FailureDomain SOUTH = new FailureDomain("south");

  private Configurations() {}

  /** Both failure domains, the north one in service or not. */
  public static Configuration withNorth(long revision, boolean inService) {
    Map<FailureDomain, FailureDomainSpec> domains = new HashMap<>();
    domains.put(NORTH, new FailureDomainSpec(NORTH, "steppe", inService));
    domains.put(SOUTH, new FailureDomainSpec(SOUTH, "steppe", true));
    return new Configuration(new Revision(revision), Map.of(), domains, Map.of());
  }

  /** A configuration that is told from others by a number. */
  public static Configuration numbered(int number) {
    FailureDomain domain = new FailureDomain("domain-" + number);
    return new Configuration(
        Revision.NONE,
        Map.of(),
        Map.of(domain, new FailureDomainSpec(domain, "steppe", true)),
        Map.of());
  }
}
