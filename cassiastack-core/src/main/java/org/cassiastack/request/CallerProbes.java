package org.cassiastack.request;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/**
 * The probes of dispatchers that an entry has got. A probe counts only some time after its arrival:
 * the loss of a caller that came before the probe, as during a pause of this process, has been
 * handled by then.
 */
final class CallerProbes {
  /** Time in which events that were ready together with a probe are handled. */
  static final Duration SETTLING_TIME = Duration.ofMillis(10);

  private final Map<NodeId, Arrival> arrived = new HashMap<>();
  private final Map<NodeId, Instant> settled = new HashMap<>();

  void onProbe(NodeId from, CallerProbe probe, Instant now) {
    arrived.put(from, new Arrival(probe.sentAt(), now));
  }

  void onDisconnected(NodeId peer) {
    arrived.remove(peer);
    settled.remove(peer);
  }

  /** Returns the dispatchers whose last probe counts from now on and has to be answered. */
  List<NodeId> takeSettled(Instant now) {
    List<NodeId> senders = new ArrayList<>();
    arrived.forEach(
        (sender, a) -> {
          if (!now.isBefore(a.at.plus(SETTLING_TIME))) {
            settled.put(sender, a.sentAt);
            senders.add(sender);
          }
        });
    senders.forEach(arrived::remove);
    return senders;
  }

  /** Returns when the last probe of a dispatcher that counts was sent, or null. */
  @Nullable Instant lastOf(NodeId dispatcher) {
    return settled.get(dispatcher);
  }

  /** Returns whether a probe has not been answered yet. */
  boolean areArriving() {
    return !arrived.isEmpty();
  }

  private record Arrival(Instant sentAt, Instant at) {}
}
