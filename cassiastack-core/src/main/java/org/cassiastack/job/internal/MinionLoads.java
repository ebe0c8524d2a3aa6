package org.cassiastack.job.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.membership.AvailableMinion;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.routing.MinionLoad;

/** Loads of the minions that take work, kept over changes of the view. */
public final class MinionLoads {
  private Map<MinionId, MinionLoad> byMinion = new HashMap<>();
  private Map<ServiceName, List<MinionLoad>> byService = new HashMap<>();

  /** Takes over a new view; minions that stay keep their load. */
  public void replace(List<AvailableMinion> available) {
    Map<MinionId, MinionLoad> loads = new HashMap<>();
    Map<ServiceName, List<MinionLoad>> services = new HashMap<>();
    for (AvailableMinion m : available) {
      MinionLoad known = byMinion.get(m.minion().id());
      boolean same = known != null && known.target().equals(m);
      MinionLoad load = same ? known : MinionLoad.of(m);
      loads.put(m.minion().id(), load);
      services.computeIfAbsent(m.minion().service(), s -> new ArrayList<>()).add(load);
    }
    byMinion = loads;
    byService = services;
  }

  /** Returns the minions of a service that can take one more task now. */
  public List<MinionLoad> candidates(ServiceName service, Configuration inForce, Instant now) {
    List<MinionLoad> free = new ArrayList<>();
    for (MinionLoad m : byService.getOrDefault(service, List.of())) {
      if (m.hasFreeSlot(now) && inForce.allowsStartsIn(m.target().minion().failureDomain())) {
        free.add(m);
      }
    }
    return free;
  }

  /** Tells whether a service has any minion in a failure domain that is in service. */
  public boolean serves(ServiceName service, Configuration inForce) {
    return byService.getOrDefault(service, List.of()).stream()
        .anyMatch(m -> inForce.allowsStartsIn(m.target().minion().failureDomain()));
  }
}
