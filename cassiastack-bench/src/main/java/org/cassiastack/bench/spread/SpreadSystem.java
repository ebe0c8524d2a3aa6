package org.cassiastack.bench.spread;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import org.cassiastack.bench.minion.Loopback;
import org.cassiastack.bench.minion.StandInMinion;
import org.cassiastack.configuration.ApplyResult;
import org.cassiastack.configuration.ChangeId;
import org.cassiastack.consensus.RaftSettings;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.daemon.agent.Agent;
import org.cassiastack.daemon.entry.Entry;
import org.cassiastack.daemon.settings.AgentSettings;
import org.cassiastack.daemon.settings.EntrySettings;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Minion;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Revision;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Worker;
import org.cassiastack.transport.http.ChangeRequest;
import org.cassiastack.transport.http.OperatorClient;

/**
 * One control member, two relays and a number of agents in one process. A relay is an entry that is
 * no control member. The agents alternate between the failure domains {@code north} and {@code
 * south}.
 */
final class SpreadSystem implements AutoCloseable {
  static final ServiceName SERVICE = new ServiceName("ice");

  private static final int ENTRIES = 3;
  private static final int SLOTS = 8;
  private static final int CONNECTIONS = 64;
  private static final int MAX_RETAINED_TASKS = 100_000;
  private static final Duration RETENTION = Duration.ofMinutes(10);
  private static final Duration AGENT_LEASE = Duration.ofSeconds(3);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(1);

  private final List<Entry> entries = new ArrayList<>();
  private final List<Agent> agents = new ArrayList<>();
  private final List<StandInMinion> minions = new ArrayList<>();
  private final StartRecorder northRecorder = new StartRecorder();
  private final StartRecorder southRecorder = new StartRecorder();
  private Revision acceptedRevision = Revision.NONE;

  private SpreadSystem() {}

  /**
   * Starts a system and applies the configuration through a relay.
   *
   * @param agentCount number of agents, each with one stand-in minion
   */
  static SpreadSystem start(int agentCount) throws CassiaException, InterruptedException {
    SpreadSystem system = new SpreadSystem();
    Map<NodeId, InetSocketAddress> memberAddresses = new TreeMap<>(NodeId.BY_NAME);
    for (int i = 1; i <= ENTRIES; i++) {
      NodeId name = new NodeId("entry-" + i);
      Entry entry = Entry.start(entrySettings(name, memberAddresses), TimeSource.system());
      system.entries.add(entry);
      if (memberAddresses.isEmpty()) {
        memberAddresses.put(name, entry.peerAddress());
      }
    }
    for (int i = 0; i < agentCount; i++) {
      system.startAgent(i);
    }
    while (!system.trySetNorthInService(true)) {
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
    system.awaitInForce();
    system.awaitMinions();
    return system;
  }

  List<Entry> entries() {
    return entries;
  }

  List<Agent> agents() {
    return agents;
  }

  StartRecorder northRecorder() {
    return northRecorder;
  }

  StartRecorder southRecorder() {
    return southRecorder;
  }

  /**
   * Takes the domain {@code north} into or out of service through a relay; returns once the change
   * is accepted.
   */
  void setNorthInService(boolean northInService) throws CassiaException {
    if (!trySetNorthInService(northInService)) {
      throw new IllegalStateException("change of failure domain north was not accepted");
    }
  }

  /** Waits until the newest accepted revision is in force at every entry and every agent. */
  void awaitInForce() throws InterruptedException {
    while (!entries.stream().allMatch(entry -> isUpToDate(entry.configuration().revision()))
        || !agents.stream().allMatch(agent -> isUpToDate(agent.configuration().revision()))) {
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
  }

  @Override
  public void close() {
    entries.forEach(entry -> entry.stop(STOP_TIMEOUT));
    agents.forEach(agent -> agent.stop(STOP_TIMEOUT));
    minions.forEach(StandInMinion::close);
  }

  private boolean isUpToDate(Revision revision) {
    return !revision.isBefore(acceptedRevision);
  }

  private boolean trySetNorthInService(boolean northInService) {
    String text =
        """
        [failure-domain north]
        state = %s
        [failure-domain south]
        [service ice]
        [customer ayaz]
        """
            .formatted(northInService ? "in" : "out");
    ChangeRequest request =
        new ChangeRequest(
            new ChangeId(UUID.randomUUID()),
            acceptedRevision,
            new TreeMap<>(Map.of("all.ini", text)));
    ApplyResult result =
        OperatorClient.create(entries.get(1).operatorAddress()).apply(request).block();
    if (result == null || result.revision().equals(acceptedRevision)) {
      return false;
    }
    acceptedRevision = result.revision();
    return true;
  }

  private void awaitMinions() throws InterruptedException {
    while (!entries.stream()
        .allMatch(entry -> entry.minions().available().size() == agents.size())) {
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
  }

  private void startAgent(int number) {
    boolean inNorth = number % 2 == 0;
    StandInMinion standIn =
        StandInMinion.start(Loopback.address(0), inNorth ? northRecorder : southRecorder);
    minions.add(standIn);
    FailureDomain domain = new FailureDomain(inNorth ? "north" : "south");
    Worker worker = new Worker("worker-" + number, "rack-" + number, domain, 32, 65_536);
    Minion minion =
        new Minion(new MinionId("minion-" + number), SERVICE, worker, SLOTS, CONNECTIONS);
    AgentSettings settings =
        new AgentSettings(
            new NodeId("agent-" + number),
            worker,
            null,
            entries.stream().map(Entry::peerAddress).toList(),
            List.of(new AgentSettings.MinionSettings(minion, standIn.url())),
            RETENTION,
            MAX_RETAINED_TASKS);
    agents.add(Agent.start(settings, TimeSource.system()));
  }

  private static EntrySettings entrySettings(
      NodeId name, Map<NodeId, InetSocketAddress> memberAddresses) {
    InetSocketAddress anyPort = Loopback.address(0);
    return new EntrySettings(
        name,
        anyPort,
        anyPort,
        anyPort,
        null,
        RETENTION,
        AGENT_LEASE,
        memberAddresses,
        null,
        RaftSettings.DEFAULT_SNAPSHOT_THRESHOLD_BYTES);
  }
}
