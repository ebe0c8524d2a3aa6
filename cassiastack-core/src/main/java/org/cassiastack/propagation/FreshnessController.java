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
 * Keeps the configuration of a process in force and knows how old it is.
 *
 * <ol>
 *   <li>It asks one of its sources at each interval, in turn, so that the cost does not grow with
 *       their number. What it hears is as old as the moment it asked, by its own clock, and the age
 *       that the source gives; so no clocks need to agree.
 *   <li>It answers those that ask it, adding its own age, and sends each newer revision on to them
 *       at once: deltas, or a snapshot for whoever is further behind.
 *   <li>The control member that leads asks its quorum; what that confirms is as old as the
 *       heartbeat that it answered. So a leader that froze and lost its lead vouches for nothing.
 *   <li>{@link StartsAllowed} goes out at each renewal and lapses by itself.
 * </ol>
 *
 * @since 0.1
 */
public final class FreshnessController implements Controller {
  /** Age of a configuration beyond which nothing may start; operators see changes by then. */
  public static final Duration MAX_CONFIGURATION_AGE = Duration.ofSeconds(3);

  /** A sixth of the limit, so that some lost answers do no harm. */
  private static final Duration ASK_INTERVAL = Duration.ofMillis(500);

  /** Largest number of deltas that are kept for others. */
  public static final int MAX_RETAINED_DELTAS = 256;

  private final Predicate<NodeId> isSource;
  private final Duration interval;
  private final Duration limit;
  private final Deque<NodeId> sources = new ArrayDeque<>();
  private final Map<NodeId, Revision> askers = new HashMap<>();
  private final TreeMap<Long, Instant> asked = new TreeMap<>();
  private final RetainedDeltas deltas = new RetainedDeltas(MAX_RETAINED_DELTAS);
  private Configuration held = Configuration.EMPTY;
  private Instant freshAt = Instant.MIN;
  private Instant nextAsk = Instant.MIN;
  private long serial;

  private FreshnessController(Predicate<NodeId> isSource, Duration interval, Duration limit) {
    this.isSource = isSource;
    this.interval = interval;
    this.limit = limit;
  }

  /**
   * Makes a controller with the timings that all daemons share, so that a change is in force within
   * {@link #MAX_CONFIGURATION_AGE} wherever work may start.
   *
   * @param isSource tells which peers are asked
   */
  public static FreshnessController create(Predicate<NodeId> isSource) {
    return create(isSource, ASK_INTERVAL, MAX_CONFIGURATION_AGE);
  }

  /**
   * Makes a controller that holds nothing yet.
   *
   * @param isSource tells which peers are asked
   * @param interval time between questions
   * @param limit age beyond which nothing may start
   */
  public static FreshnessController create(
      Predicate<NodeId> isSource, Duration interval, Duration limit) {
    return new FreshnessController(isSource, interval, limit);
  }

  @Override
  public List<Effect> on(Event event, Instant now) {
    List<Effect> effects = new ArrayList<>();
    if (event instanceof Received r) {
      received(r, now, effects);
    } else if (event instanceof ConfigurationChanged c) {
      adopt(c.configuration(), effects);
    } else if (event instanceof QuorumConfirmed q) {
      renew(q.sentAt(), effects);
    } else if (event instanceof PeerConnected c && isSource.test(c.peer())) {
      sources.addLast(c.peer());
      ask(c.peer(), now, effects);
    } else if (event instanceof PeerDisconnected d) {
      sources.remove(d.peer());
      askers.remove(d.peer());
    } else if (event instanceof Tick && !now.isBefore(nextAsk)) {
      askNext(now, effects);
    }
    return effects;
  }

  private void received(Received r, Instant now, List<Effect> effects) {
    if (r.message() instanceof AskConfiguration m) {
      answer(r.from(), m, now, effects);
    } else if (r.message() instanceof ConfigurationUpdate m) {
      effects.addAll(updated(m));
    } else if (r.message() instanceof ConfigurationAge m) {
      heard(m, effects);
    }
  }

  private void askNext(Instant now, List<Effect> effects) {
    nextAsk = now.plus(interval);
    NodeId source = sources.pollFirst();
    if (source != null) {
      sources.addLast(source);
      ask(source, now, effects);
    }
  }

  private void ask(NodeId source, Instant now, List<Effect> effects) {
    serial++;
    asked.put(serial, now);
    // An answer to an older question could not make anything fresh any more.
    asked.values().removeIf(at -> !at.plus(limit).isAfter(now));
    effects.add(new Send(source, new AskConfiguration(serial, held.revision())));
  }

  private void answer(NodeId from, AskConfiguration m, Instant now, List<Effect> effects) {
    askers.put(from, m.heldRevision());
    if (m.heldRevision().isBefore(held.revision())) {
      update(from, effects);
    }
    if (freshAt.isAfter(now.minus(limit))) {
      Duration age = Duration.between(freshAt, now);
      effects.add(new Send(from, new ConfigurationAge(m.serial(), held.revision(), age)));
    }
  }

  private void heard(ConfigurationAge m, List<Effect> effects) {
    Instant at = asked.get(m.serial());
    // A newer revision than the one held is still on its way, so the age is not that of ours.
    if (at == null || held.revision().isBefore(m.revision())) {
      return;
    }
    renew(at.minus(m.age()), effects);
  }

  private void renew(Instant at, List<Effect> effects) {
    if (at.isAfter(freshAt)) {
      freshAt = at;
      publish(effects);
    }
  }

  private void publish(List<Effect> effects) {
    Instant until = freshAt.equals(Instant.MIN) ? freshAt : freshAt.plus(limit);
    effects.add(new StartsAllowed(until, held));
  }

  private List<Effect> updated(ConfigurationUpdate m) {
    Configuration c = held;
    for (ConfigurationDelta d : m.deltas()) {
      if (d.isSnapshot() || d.from().equals(c.revision())) {
        c = d.applyTo(c);
      }
    }
    boolean newer = held.revision().isBefore(c.revision());
    return newer ? List.of(new Raise(new ConfigurationChanged(c))) : List.of();
  }

  /** Takes over a newer revision; an older one never replaces it. */
  private void adopt(Configuration c, List<Effect> effects) {
    if (!held.revision().isBefore(c.revision())) {
      return;
    }
    deltas.add(held, c);
    held = c;
    effects.add(new ConfigurationChanged(c));
    // Traffic learns of it at once; the age of what it may start under has not changed.
    publish(effects);
    askers.keySet().forEach(a -> update(a, effects));
  }

  private void update(NodeId asker, List<Effect> effects) {
    Revision has = askers.getOrDefault(asker, Revision.NONE);
    effects.add(new Send(asker, new ConfigurationUpdate(deltas.since(has, held))));
    askers.put(asker, held.revision());
  }
}
