package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cassiastack.controller.Effect;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Send;
import org.cassiastack.request.CallerProbe;
import org.cassiastack.schedule.CallerLease;

/** Asks entries at intervals which jobs their callers still wait for. */
final class CallerProber {
  /** Minimum time between two probes to an entry. */
  private static final Duration MIN_INTERVAL = Duration.ofMillis(50);

  /** Entries that have submitted jobs over the present connection. */
  private final Set<NodeId> submitters = new LinkedHashSet<>();

  private final Map<NodeId, Instant> probedAt = new HashMap<>();

  /** Probes an entry from now on, and at once if a job that it has submitted is not confirmed. */
  void onSubmitted(NodeId entry, boolean isConfirmed, Instant now, List<Effect> effects) {
    submitters.add(entry);
    if (!isConfirmed) {
      probe(entry, MIN_INTERVAL, now, effects);
    }
  }

  /** Probes those entries that were not probed for an interval. */
  void probeAll(Collection<NodeId> others, Instant now, List<Effect> effects) {
    submitters.forEach(e -> probe(e, CallerLease.PROBE_INTERVAL, now, effects));
    others.forEach(e -> probe(e, CallerLease.PROBE_INTERVAL, now, effects));
  }

  void onDisconnected(NodeId peer) {
    submitters.remove(peer);
    probedAt.remove(peer);
  }

  private void probe(NodeId entry, Duration interval, Instant now, List<Effect> effects) {
    Instant last = probedAt.get(entry);
    if (last == null || !now.isBefore(last.plus(interval))) {
      probedAt.put(entry, now);
      effects.add(new Send(entry, new CallerProbe(now)));
    }
  }
}
