package org.cassiastack.schedule.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cassiastack.controller.Effect;
import org.cassiastack.decision.Decision;
import org.cassiastack.fallback.FallbackDirectory;
import org.cassiastack.fallback.FallbackNode;
import org.cassiastack.fallback.FallbackOffer;
import org.cassiastack.fallback.FallbackState;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Payload;
import org.cassiastack.protocol.Send;
import org.cassiastack.queue.JobLedger;
import org.cassiastack.queue.QueueConfiguration;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the fallback dispatchers among the entries that have offered themselves, and sends them
 * the state to dispatch by. Each control member collects the offers, so that a new leader has its
 * choice at once.
 *
 * <p>No entry is chosen while the ledger holds a job that has not ended, and for some time after: a
 * fallback dispatcher cannot tell the runs of stored jobs from others, and would let agents forget
 * ends that are not in the log.
 */
public final class FallbackAnnouncer {
  /** Maximum number of fallback dispatchers of a failure domain. */
  private static final int MAX_PER_DOMAIN = 2;

  /** Time after the end of the last stored job in which no entry is chosen. */
  private static final Duration STORED_JOB_GRACE = Duration.ofSeconds(10);

  /**
   * Time for which an entry that was lost may still be holding agents. An entry that was cut off
   * for longer is taken for replaced.
   */
  private static final Duration LOST_ENTRY_RETENTION = Duration.ofMinutes(10);

  /** Name of the entry of a machine, after the name of the machine's control member. */
  private static final String ENTRY_SUFFIX = "/entry";

  private final Map<NodeId, FallbackOffer> offers = new TreeMap<>(NodeId.BY_NAME);
  private final Map<NodeId, Instant> lostEntries = new HashMap<>();
  private final Map<NodeId, FallbackState> sentStates = new HashMap<>();
  private Set<NodeId> memberMachines = Set.of();
  private Instant storedJobsUntil = Instant.MIN;
  private @Nullable FallbackDirectory directory;
  private boolean choosing;

  /** Whether something that the choice or the state depends on has changed. */
  private boolean changed = true;

  /** Records that an entry uses fallback dispatchers and may be able to act as one. */
  public void onOffer(NodeId entry, FallbackOffer offer) {
    changed |= !offer.equals(offers.put(entry, offer));
    lostEntries.remove(entry);
  }

  /** Records the loss of the connection to a process. */
  public void onDisconnected(NodeId peer, Instant now) {
    sentStates.remove(peer);
    if (offers.remove(peer) != null) {
      changed = true;
      lostEntries.put(peer, now);
    }
  }

  /** Records the control members. */
  public void onMembers(Collection<NodeId> members) {
    memberMachines = new HashSet<>(members);
    changed = true;
  }

  /** Records that the ledger may have changed. */
  public void onLedgerChanged() {
    changed = true;
  }

  /** Returns the entries that have offered themselves. */
  public Collection<NodeId> entries() {
    return offers.keySet();
  }

  /** Returns whether an entry that cannot be reached may be holding agents. */
  public boolean mayHoldAgents(Instant now) {
    lostEntries.values().removeIf(at -> now.isAfter(at.plus(LOST_ENTRY_RETENTION)));
    return !lostEntries.isEmpty();
  }

  /** Forgets what was announced, because this member has begun or ceased to lead. */
  public void reset() {
    directory = null;
    sentStates.clear();
    changed = true;
  }

  /** Sends the directory to a process that has connected. */
  public void sendDirectory(NodeId to, List<Effect> effects) {
    if (directory != null) {
      effects.add(new Send(to, directory));
    }
  }

  /**
   * Sends the directory and the states that have changed since the last call.
   *
   * @param term term of this leader, whose generation is committed
   * @param peers connected processes
   */
  public void announce(
      long term, JobLedger ledger, Collection<NodeId> peers, Instant now, List<Effect> effects) {
    if (!ledger.live().isEmpty()) {
      storedJobsUntil = now.plus(STORED_JOB_GRACE);
    }
    boolean mayChoose = !now.isBefore(storedJobsUntil);
    changed |= mayChoose != choosing;
    choosing = mayChoose;
    QueueConfiguration c = ledger.configuration();
    if (!changed || c == null) {
      return;
    }
    changed = false;
    List<FallbackNode> nodes = mayChoose ? choose() : List.of();
    FallbackState state =
        new FallbackState(
            term,
            ledger.generation(),
            new QueueConfiguration(c.version(), c.queues(), Payload.EMPTY),
            List.copyOf(ledger.domainsOut()));
    for (FallbackNode n : nodes) {
      if (!state.equals(sentStates.put(n.node(), state))) {
        effects.add(new Send(n.node(), state));
      }
    }
    FallbackDirectory next = new FallbackDirectory(term, c.version(), nodes);
    if (!next.equals(directory)) {
      directory = next;
      peers.forEach(p -> effects.add(new Send(p, next)));
      String inputs = "version=" + c.version() + " offers=" + offers.size() + " nodes=" + nodes;
      String outcome = mayChoose ? "chosen" : "stored_jobs";
      effects.add(Decision.of("fallback_directory_changed", term, outcome, inputs));
    }
  }

  /**
   * Chooses the dispatchers of each failure domain: first those without a control member on their
   * machine, whose loss with the control members is less likely, then those chosen before.
   */
  private List<FallbackNode> choose() {
    Set<NodeId> chosenBefore = new HashSet<>();
    if (directory != null) {
      directory.nodes().forEach(n -> chosenBefore.add(n.node()));
    }
    Comparator<NodeId> order =
        Comparator.comparing(this::hasMember)
            .thenComparing(n -> !chosenBefore.contains(n))
            .thenComparing(NodeId.BY_NAME);
    Map<FailureDomain, List<NodeId>> byDomain =
        new TreeMap<>(Comparator.comparing(FailureDomain::name));
    offers.forEach(
        (n, o) -> {
          if (o.mayDispatch()) {
            byDomain.computeIfAbsent(o.domain(), x -> new ArrayList<>()).add(n);
          }
        });
    List<FallbackNode> chosen = new ArrayList<>();
    byDomain.forEach(
        (domain, nodes) -> {
          nodes.sort(order);
          nodes.stream()
              .limit(MAX_PER_DOMAIN)
              .forEach(n -> chosen.add(new FallbackNode(n, domain)));
        });
    return chosen;
  }

  private boolean hasMember(NodeId entry) {
    String name = entry.name();
    return name.endsWith(ENTRY_SUFFIX)
        && memberMachines.contains(
            new NodeId(name.substring(0, name.length() - ENTRY_SUFFIX.length())));
  }
}
