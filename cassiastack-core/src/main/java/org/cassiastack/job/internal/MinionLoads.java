package org.cassiastack.job.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ServiceSpec;
import org.cassiastack.membership.AvailableMinion;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.JobId;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.ServiceName;
import org.cassiastack.routing.MinionLoad;
import org.cassiastack.routing.OutlierEjector;
import org.cassiastack.routing.internal.RunTimeMean;

/** Loads of the minions that take work, kept over changes of the view. */
public final class MinionLoads {
  private static final double DEFAULT_RUN_SECONDS = 1;
  private static final int FIRST_OBSERVATIONS = 20;
  private static final double WEIGHT_OF_NEWEST = 0.02;

  private Map<MinionId, MinionLoad> byMinion = new HashMap<>();
  private Map<ServiceName, List<MinionLoad>> byService = new HashMap<>();
  private final Map<ServiceName, OutlierEjector> ejectors = new HashMap<>();
  private final Map<ServiceName, RunTimeMean> means = new HashMap<>();
  private int coordinators = 1;
  private Configuration inForce = Configuration.EMPTY;

  /**
   * Takes over a new view; minions that stay keep their load, and those that come to a service that
   * has others get their capacity by a ramp.
   */
  public void replace(List<AvailableMinion> available, Instant now) {
    Map<MinionId, MinionLoad> loads = new HashMap<>();
    Map<ServiceName, List<MinionLoad>> services = new HashMap<>();
    for (AvailableMinion m : available) {
      MinionLoad known = byMinion.get(m.minion().id());
      boolean same = known != null && known.target().equals(m);
      MinionLoad load = same ? known : joined(m, now);
      loads.put(m.minion().id(), load);
      services.computeIfAbsent(m.minion().service(), s -> new ArrayList<>()).add(load);
    }
    byMinion = loads;
    byService = services;
  }

  private MinionLoad joined(AvailableMinion m, Instant now) {
    MinionLoad load = MinionLoad.of(m);
    ServiceName service = m.minion().service();
    load.setCoordinatorCount(coordinators);
    load.setPriorSeconds(() -> expectedRunSeconds(service));
    if (byService.containsKey(service)) {
      load.startRamp(now);
    }
    return load;
  }

  /** Takes over a configuration; failure domains that come back get capacity by a ramp. */
  public void configurationChanged(Configuration next, Instant now) {
    for (MinionLoad m : byMinion.values()) {
      FailureDomain domain = m.target().minion().failureDomain();
      boolean wasOut = inForce.failureDomains().containsKey(domain);
      if (wasOut && !inForce.allowsStartsIn(domain) && next.allowsStartsIn(domain)) {
        m.startRamp(now);
      }
    }
    inForce = next;
  }

  /** Starts with the part of the slots that each of several coordinators may use. */
  public void setCoordinatorCount(int count) {
    coordinators = count;
    byMinion.values().forEach(m -> m.setCoordinatorCount(count));
  }

  /** Returns the minions of a service whose failure domain is in service. */
  public List<MinionLoad> inService(ServiceName service) {
    List<MinionLoad> found = new ArrayList<>();
    for (MinionLoad m : byService.getOrDefault(service, List.of())) {
      if (isInService(m)) {
        found.add(m);
      }
    }
    return found;
  }

  /** Tells whether tasks may start in the failure domain of a minion. */
  public boolean isInService(MinionLoad m) {
    return inForce.allowsStartsIn(m.target().minion().failureDomain());
  }

  /** Tells whether a service has any minion in service and its circuit is closed. */
  public boolean serves(ServiceName service, Instant now) {
    OutlierEjector e = ejectors.get(service);
    return !inService(service).isEmpty() && (e == null || !e.isOpen(now));
  }

  /** Learns from a task that completed. */
  public void taskCompleted(MinionLoad load, Duration took) {
    load.taskCompleted(took);
    ServiceName service = load.target().minion().service();
    ejector(service).afterSuccess();
    mean(service).observe(took);
  }

  /** Learns from a task that failed at its minion or never reached it. */
  public void taskFailed(MinionLoad load, JobId job, Instant now) {
    load.taskFailed(job);
    ServiceName service = load.target().minion().service();
    ejector(service).afterFailure(load, inService(service), now);
  }

  /** Returns the expected time of a task: the declared one until others were observed. */
  public double expectedRunSeconds(ServiceName service) {
    ServiceSpec spec = inForce.services().get(service);
    double declared = spec == null ? DEFAULT_RUN_SECONDS : spec.expectedRunTime().toNanos() / 1e9;
    return mean(service).secondsBlendedWith(declared, FIRST_OBSERVATIONS);
  }

  /**
   * Returns the number of tasks that a service works off in a second, or 0 while too few were
   * observed: the declared time alone may be wrong by far.
   */
  public double tasksPerSecond(ServiceName service, Instant now) {
    if (mean(service).observations() < FIRST_OBSERVATIONS) {
      return 0;
    }
    double rate = 0;
    for (MinionLoad m : inService(service)) {
      if (!m.health().isEjected(now)) {
        rate += m.window() / m.expectedSeconds();
      }
    }
    return rate;
  }

  private RunTimeMean mean(ServiceName service) {
    return means.computeIfAbsent(service, s -> new RunTimeMean(WEIGHT_OF_NEWEST));
  }

  private OutlierEjector ejector(ServiceName service) {
    return ejectors.computeIfAbsent(service, s -> OutlierEjector.create());
  }
}
