package org.cassiastack.schedule.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.model.ServiceName;
import org.cassiastack.runs.MinionProfile;

/** The median speed of the synced workers of each service. */
final class MedianSpeeds {
  private final Map<ServiceName, Double> medians = new HashMap<>();

  /** Returns the median as of the last update; 1 while none is known. */
  double of(ServiceName service) {
    return medians.getOrDefault(service, 1.0);
  }

  void update(Collection<WorkerState> workers, Instant now) {
    Map<ServiceName, List<Double>> speeds = new HashMap<>();
    for (WorkerState w : workers) {
      MinionProfile m = w.minion;
      if (m != null && w.synced) {
        speeds.computeIfAbsent(m.service(), s -> new ArrayList<>()).add(w.speed.current(now));
      }
    }
    medians.clear();
    speeds.forEach((service, values) -> medians.put(service, median(values)));
  }

  private static double median(List<Double> values) {
    values.sort(Comparator.naturalOrder());
    return values.get(values.size() / 2);
  }
}
