package org.cassiastack.bench.quickstart;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.cassiastack.bench.minion.Loopback;
import org.cassiastack.bench.minion.StandInMinion;
import org.cassiastack.bench.minion.TaskBehavior;
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
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Worker;

/**
 * One entry, agents and stand-in minions in one process, on loopback ports that are free.
 *
 * @since 0.1
 */
public final class LocalSystem implements AutoCloseable {
  /** The service that the minions offer. */
  public static final ServiceName SERVICE = new ServiceName("ice");

  private static final Duration STOP_PATIENCE = Duration.ofSeconds(5);
  private static final Duration RETENTION = Duration.ofMinutes(10);
  private static final Duration LEASE = Duration.ofSeconds(3);
  private static final Duration POLL = Duration.ofMillis(20);
  private static final int CAPACITY = 100_000;
  private static final int CONNECTIONS = 64;
  private static final String CONFIGURATION =
      """
      [failure-domain north]
      [failure-domain south]
      [service ice]
      [customer ayaz]
      """;

  private final Entry entry;
  private final List<Agent> agents = new ArrayList<>();
  private final List<StandInMinion> minions = new ArrayList<>();

  private LocalSystem(Entry entry) {
    this.entry = entry;
  }

  /**
   * Starts a system.
   *
   * @param agents number of agents, each with one minion, in turn in two failure domains
   * @param slots slots of each minion
   * @throws CassiaException when the configuration cannot be written or read
   */
  public static LocalSystem start(int agents, int slots) throws CassiaException {
    Entry entry = Entry.start(entrySettings(), TimeSource.system());
    LocalSystem system = new LocalSystem(entry);
    for (int i = 0; i < agents; i++) {
      system.startAgent(i, slots);
    }
    return system;
  }

  /** Returns the entry. */
  public Entry entry() {
    return entry;
  }

  /** Returns the stand-in minions. */
  public List<StandInMinion> minions() {
    return List.copyOf(minions);
  }

  /** Waits until the entry knows every minion. */
  public void awaitMinions() throws InterruptedException {
    while (entry.minions().available().size() < minions.size()) {
      Thread.sleep(POLL.toMillis());
    }
  }

  @Override
  public void close() {
    entry.stop(STOP_PATIENCE);
    agents.forEach(a -> a.stop(STOP_PATIENCE));
    minions.forEach(StandInMinion::close);
  }

  private void startAgent(int number, int slots) {
    StandInMinion standIn = StandInMinion.start(anyPort(), TaskBehavior.namedByInput());
    minions.add(standIn);
    FailureDomain domain = new FailureDomain(number % 2 == 0 ? "north" : "south");
    Worker worker = new Worker("worker-" + number, "rack-" + number, domain, 32, 65_536);
    MinionId id = new MinionId("minion-" + number);
    Minion minion = new Minion(id, SERVICE, worker, slots, CONNECTIONS);
    AgentSettings settings =
        new AgentSettings(
            new NodeId("agent-" + number),
            worker,
            List.of(entry.peerAddress()),
            List.of(new AgentSettings.MinionSettings(minion, standIn.url())),
            RETENTION,
            CAPACITY);
    agents.add(Agent.start(settings, TimeSource.system()));
  }

  private static EntrySettings entrySettings() throws CassiaException {
    try {
      Path folder = Files.createTempDirectory("cassiastack");
      Files.writeString(folder.resolve("all.ini"), CONFIGURATION);
      return new EntrySettings(
          new NodeId("entry-1"),
          anyPort(),
          anyPort(),
          anyPort(),
          folder,
          RETENTION,
          LEASE,
          Map.of());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static InetSocketAddress anyPort() {
    return Loopback.port(0);
  }
}
