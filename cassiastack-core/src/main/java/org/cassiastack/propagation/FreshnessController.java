package org.cassiastack.propagation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.ConfigurationChanged;
import org.cassiastack.configuration.ConfigurationDelta;
import org.cassiastack.configuration.StartsAllowed;
import org.cassiastack.consensus.QuorumConfirmed;
import org.cassiastack.controller.Controller;
import org.cassiastack.controller.Effect;
import org.cassiastack.controller.Event;
import org.cassiastack.controller.Raise;
import org.cassiastack.controller.Tick;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Revision;
import org.cassiastack.propagation.internal.RetainedDeltas;
import org.cassiastack.protocol.PeerConnected;
import org.cassiastack.protocol.PeerDisconnected;
import org.cassiastack.protocol.Received;
import org.cassiastack.protocol.Send;

/**
 * Maintains the configuration in force in a process, and the time at which that configuration was
 * last confirmed to be the newest in the system.
 *
 * <ol>
 *   <li>At each interval the controller sends a request to one of its sources, the connected
 *       processes from which it gets configurations. It takes the sources in turn, so that the cost
 *       does not grow with their number. An answer confirms the configuration for the time of the
 *       request by the local clock, minus the age that the source reports. The clocks of the
 *       processes therefore need not agree.
 *   <li>The controller answers the requests of other processes with the time since its own
 *       configuration was confirmed, and sends each newer revision to these processes at once: as
 *       deltas, or as a snapshot if the process is too many revisions behind.
 *   <li>On the control member that is the leader, {@link QuorumConfirmed} confirms the
 *       configuration for its {@code sentAt}, the send time of messages that a quorum has answered.
 *       A leader that was paused and has lost its leadership therefore confirms nothing.
 *   <li>{@link StartsAllowed} is published at each confirmation and at each new revision. Only a
 *       confirmation extends the permission; without one it expires.
 * </ol>
 *
 * @since 0.1
 */
public final class FreshnessController implements Controller {
  /**
   * Maximum age of a configuration with which work may start. Within this time after a change was
   * accepted, the change is in force in every process that still starts work.
   */
  public static final Duration MAX_CONFIGURATION_AGE = Duration.ofSeconds(3);

  /** A sixth of {@link #MAX_CONFIGURATION_AGE}, so that the loss of some answers does no harm. */
  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(500);

  /** Maximum number of deltas that are retained for other processes. */
  public static final int MAX_RETAINED_DELTAS = 256;

  private final Predicate<NodeId> isSource;
  private final Duration interval;
  private final Duration maxAge;
  private final Deque<NodeId> sources = new ArrayDeque<>();
  private final Map<NodeId, Revision> requesters = new HashMap<>();
  private final TreeMap<Long, Instant> requestTimes = new TreeMap<>();
  private final RetainedDeltas deltas = new RetainedDeltas(MAX_RETAINED_DELTAS);
  private Configuration held = Configuration.EMPTY;
  private Instant confirmedAt = Instant.MIN;
  private Instant nextRequest = Instant.MIN;
  private long lastSequence;

  private FreshnessController(Predicate<NodeId> isSource, Duration interval, Duration maxAge) {
    this.isSource = isSource;
    this.interval = interval;
    this.maxAge = maxAge;
  }

  /**
   * Creates a controller with the timings that all daemons share, so that a change is in force
   * within {@link #MAX_CONFIGURATION_AGE} wherever work may start.
   *
   * @param isSource returns whether a peer is a source of configurations
   */
  public static FreshnessController create(Predicate<NodeId> isSource) {
    return create(isSource, REQUEST_INTERVAL, MAX_CONFIGURATION_AGE);
  }

  /**
   * Creates a controller that holds an empty configuration.
   *
   * @param isSource returns whether a peer is a source of configurations
   * @param interval time between requests to sources
   * @param maxAge time since the last confirmation from which on nothing may start
   */
  public static FreshnessController create(
      Predicate<NodeId> isSource, Duration interval, Duration maxAge) {
    return new FreshnessController(isSource, interval, maxAge);
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof Received r) {
      onMessage(r, now, effects);
    } else if (event instanceof ConfigurationChanged c) {
      adopt(c.configuration(), effects);
    } else if (event instanceof QuorumConfirmed q) {
      confirm(q.sentAt(), effects);
    } else if (event instanceof PeerConnected c && isSource.test(c.peer())) {
      sources.addLast(c.peer());
      request(c.peer(), now, effects);
    } else if (event instanceof PeerDisconnected d) {
      sources.remove(d.peer());
      requesters.remove(d.peer());
    } else if (event instanceof Tick && !now.isBefore(nextRequest)) {
      requestFromNextSource(now, effects);
    }
    return effects;
  }

  private void onMessage(Received r, Instant now, List<Effect> effects) {
    if (r.message() instanceof AskConfiguration m) {
      answer(r.from(), m, now, effects);
    } else if (r.message() instanceof ConfigurationUpdate m) {
      effects.addAll(onUpdate(m));
    } else if (r.message() instanceof ConfigurationAge m) {
      onAge(m, effects);
    }
  }

  private void requestFromNextSource(Instant now, List<Effect> effects) {
    nextRequest = now.plus(interval);
    NodeId source = sources.pollFirst();
    if (source != null) {
      sources.addLast(source);
      request(source, now, effects);
    }
  }

  private void request(NodeId source, Instant now, List<Effect> effects) {
    lastSequence++;
    requestTimes.put(lastSequence, now);
    // An answer to an older request could only confirm an age that is not allowed any more.
    requestTimes.values().removeIf(at -> !at.plus(maxAge).isAfter(now));
    effects.add(new Send(source, new AskConfiguration(lastSequence, held.revision())));
  }

  private void answer(NodeId from, AskConfiguration m, Instant now, List<Effect> effects) {
    requesters.put(from, m.heldRevision());
    if (m.heldRevision().isBefore(held.revision())) {
      sendUpdate(from, effects);
    }
    if (confirmedAt.isAfter(now.minus(maxAge))) {
      Duration age = Duration.between(confirmedAt, now);
      effects.add(new Send(from, new ConfigurationAge(m.sequence(), held.revision(), age)));
    }
  }

  private void onAge(ConfigurationAge m, List<Effect> effects) {
    Instant requestedAt = requestTimes.get(m.sequence());
    // The age belongs to a newer revision, which has not arrived yet, and not to the held revision.
    if (requestedAt == null || held.revision().isBefore(m.revision())) {
      return;
    }
    confirm(requestedAt.minus(m.age()), effects);
  }

  private void confirm(Instant at, List<Effect> effects) {
    if (at.isAfter(confirmedAt)) {
      confirmedAt = at;
      publish(effects);
    }
  }

  private void publish(List<Effect> effects) {
    Instant until = confirmedAt.equals(Instant.MIN) ? confirmedAt : confirmedAt.plus(maxAge);
    effects.add(new StartsAllowed(until, held));
  }

  private List<Effect> onUpdate(ConfigurationUpdate m) {
    Configuration c = held;
    for (ConfigurationDelta d : m.deltas()) {
      if (d.isSnapshot() || d.from().equals(c.revision())) {
        c = d.applyTo(c);
      }
    }
    boolean newer = held.revision().isBefore(c.revision());
    return newer ? List.of(new Raise(new ConfigurationChanged(c))) : List.of();
  }

  /**
   * Replaces the held configuration by a newer one; a configuration that is not newer is ignored.
   */
  private void adopt(Configuration c, List<Effect> effects) {
    if (!held.revision().isBefore(c.revision())) {
      return;
    }
    deltas.add(held, c);
    held = c;
    effects.add(new ConfigurationChanged(c));
    // The traffic loop gets the configuration at once; the end of the permission does not change.
    publish(effects);
    requesters.keySet().forEach(r -> sendUpdate(r, effects));
  }

  private void sendUpdate(NodeId requester, List<Effect> effects) {
    Revision known = requesters.getOrDefault(requester, Revision.NONE);
    effects.add(new Send(requester, new ConfigurationUpdate(deltas.since(known, held))));
    requesters.put(requester, held.revision());
  }
}
