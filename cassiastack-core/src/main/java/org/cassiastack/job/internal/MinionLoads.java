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

/** Loads of the available minions. A minion that stays available keeps its load. */
public final class MinionLoads {
  private static final double DEFAULT_RUN_SECONDS = 1;
  private static final int MIN_OBSERVATIONS = 20;
  private static final double NEWEST_OBSERVATION_WEIGHT = 0.02;

  private Map<MinionId, MinionLoad> byMinion = new HashMap<>();
  private Map<ServiceName, List<MinionLoad>> byService = new HashMap<>();
  private final Map<ServiceName, OutlierEjector> ejectors = new HashMap<>();
  private final Map<ServiceName, RunTimeMean> means = new HashMap<>();
  private int coordinators = 1;
  private Configuration configuration = Configuration.EMPTY;

  /**
   * Replaces the available minions. A minion that stays available unchanged keeps its load. A
   * minion that joins a service that already had minions gets its capacity gradually ({@link
   * MinionLoad#startRamp}).
   */
  public void replace(List<AvailableMinion> available, Instant now) {
    Map<MinionId, MinionLoad> loads = new HashMap<>();
    Map<ServiceName, List<MinionLoad>> services = new HashMap<>();
    for (AvailableMinion m : available) {
      MinionLoad known = byMinion.get(m.minion().id());
      boolean same = known != null && known.target().equals(m);
      MinionLoad load = same ? known : createLoad(m, now);
      loads.put(m.minion().id(), load);
      services.computeIfAbsent(m.minion().service(), s -> new ArrayList<>()).add(load);
    }
    byMinion = loads;
    byService = services;
  }

  private MinionLoad createLoad(AvailableMinion m, Instant now) {
    MinionLoad load = MinionLoad.of(m);
    ServiceName service = m.minion().service();
    load.setCoordinatorCount(coordinators);
    load.setPriorSeconds(() -> expectedRunSeconds(service));
    if (byService.containsKey(service)) {
      load.startRamp(now);
    }
    return load;
  }

  /**
   * Applies a configuration. The minions of a failure domain that returns to service get their
   * capacity gradually ({@link MinionLoad#startRamp}).
   */
  public void configurationChanged(Configuration newConfiguration, Instant now) {
    for (MinionLoad m : byMinion.values()) {
      FailureDomain domain = m.target().minion().failureDomain();
      boolean wasDeclared = configuration.failureDomains().containsKey(domain);
      if (wasDeclared
          && !configuration.allowsStartsIn(domain)
          && newConfiguration.allowsStartsIn(domain)) {
        m.startRamp(now);
      }
    }
    configuration = newConfiguration;
  }

  /**
   * Sets the number of coordinators that share the slots. The window of each minion, the maximum
   * number of tasks in flight there, is reset to the part of the slots that one coordinator may
   * use.
   */
  public void setCoordinatorCount(int count) {
    coordinators = count;
    byMinion.values().forEach(m -> m.setCoordinatorCount(count));
  }

  /** Returns the available minions of a service whose failure domain is in service. */
  public List<MinionLoad> inService(ServiceName service) {
    List<MinionLoad> found = new ArrayList<>();
    for (MinionLoad m : byService.getOrDefault(service, List.of())) {
      if (isInService(m)) {
        found.add(m);
      }
    }
    return found;
  }

  /** Returns whether tasks may start in the failure domain of a minion. */
  public boolean isInService(MinionLoad m) {
    return configuration.allowsStartsIn(m.target().minion().failureDomain());
  }

  /** Returns whether a service has any minion in service and a closed circuit breaker. */
  public boolean serves(ServiceName service, Instant now) {
    OutlierEjector e = ejectors.get(service);
    return !inService(service).isEmpty() && (e == null || !e.isOpen(now));
  }

  /**
   * Records that a task completed.
   *
   * @param load load of the minion that ran the task
   * @param took time from the first dispatch to the report of the result
   */
  public void taskCompleted(MinionLoad load, Duration took) {
    load.taskCompleted(took);
    ServiceName service = load.target().minion().service();
    ejector(service).afterSuccess();
    mean(service).observe(took);
  }

  /** Records that a task failed at its minion or never reached the minion. */
  public void taskFailed(MinionLoad load, JobId job, Instant now) {
    load.taskFailed(job);
    ServiceName service = load.target().minion().service();
    ejector(service).afterFailure(load, inService(service), now);
  }

  /**
   * Returns the expected run time of a task in seconds: the run time that the configuration
   * declares for the service, gradually replaced by the mean of the observed run times.
   */
  public double expectedRunSeconds(ServiceName service) {
    ServiceSpec spec = configuration.services().get(service);
    double declared = spec == null ? DEFAULT_RUN_SECONDS : spec.expectedRunTime().toNanos() / 1e9;
    return mean(service).secondsBlendedWith(declared, MIN_OBSERVATIONS);
  }

  /**
   * Returns how many tasks a service completes per second, or 0 while too few run times were
   * observed, because the declared run time alone may be far off.
   */
  public double tasksPerSecond(ServiceName service, Instant now) {
    if (mean(service).observations() < MIN_OBSERVATIONS) {
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
    return means.computeIfAbsent(service, s -> new RunTimeMean(NEWEST_OBSERVATION_WEIGHT));
  }

  private OutlierEjector ejector(ServiceName service) {
    return ejectors.computeIfAbsent(service, s -> OutlierEjector.create());
  }
}
