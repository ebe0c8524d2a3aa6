package org.cassiastack.bench.local;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cassiastack.bench.local.LocalSystemSpec.SeparateProcesses;
import org.cassiastack.bench.local.SettingsFiles.EntryAddresses;
import org.cassiastack.bench.minion.Loopback;
import org.cassiastack.bench.minion.StandInMinion;
import org.cassiastack.bench.minion.TaskBehavior;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.daemon.AgentMain;
import org.cassiastack.daemon.EntryMain;
import org.cassiastack.daemon.agent.Agent;
import org.cassiastack.daemon.entry.Entry;
import org.cassiastack.daemon.settings.AgentSettings;
import org.cassiastack.daemon.settings.EntrySettings;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;
import org.cassiastack.model.ServiceName;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Entries, agents and stand-in minions on free loopback ports.
 *
 * <ul>
 *   <li>{@link #start} starts the daemons, in this process or in separate processes.
 *   <li>{@link #awaitMinions} returns once every minion is known at every entry.
 *   <li>The system properties {@code bench.AgentMain} and {@code bench.EntryMain} hold JVM options,
 *       separated by spaces, for daemons in separate processes.
 *   <li>{@link #node} returns a daemon by its name, such as {@code agent-3}, to stop or kill it.
 * </ul>
 *
 * @since 0.1
 */
public final class LocalSystem implements AutoCloseable {
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final LocalSystemSpec spec;
  private final SettingsFiles files;
  private final List<EntryAddresses> addresses = new ArrayList<>();
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final List<StandInMinion> minions = new ArrayList<>();

  private LocalSystem(LocalSystemSpec spec) {
    this.spec = spec;
    this.files = new SettingsFiles(spec);
  }

  /**
   * Starts a system; returns before its minions are available.
   *
   * @throws CassiaException when a daemon refuses its settings
   */
  public static LocalSystem start(LocalSystemSpec spec) throws CassiaException {
    LocalSystem system = new LocalSystem(spec);
    for (int i = 0; i < spec.entries(); i++) {
      system.addEntry("entry-" + i);
    }
    for (int i = 0; i < spec.speeds().size(); i++) {
      system.addAgent(i);
    }
    for (Node node : system.nodes.values()) {
      node.start();
    }
    return system;
  }

  /** Returns the service that the minions offer. */
  public ServiceName service() {
    return new ServiceName(spec.service());
  }

  /** Returns the address to which callers connect, for each entry. */
  public List<InetSocketAddress> callerAddresses() {
    return addresses.stream().map(EntryAddresses::callerAddress).toList();
  }

  /** Returns the address to which operators connect, for each entry. */
  public List<InetSocketAddress> operatorAddresses() {
    return addresses.stream().map(EntryAddresses::operatorAddress).toList();
  }

  /** Returns the address to which agents and other entries connect, for each entry. */
  public List<InetSocketAddress> peerAddresses() {
    return addresses.stream().map(EntryAddresses::peerAddress).toList();
  }

  /** Returns the stand-in minions, in order of their agents. */
  public List<StandInMinion> minions() {
    return List.copyOf(minions);
  }

  /** Returns the folder of the settings files and of the logs of daemons in separate processes. */
  public Path folder() {
    return files.folder();
  }

  /**
   * Returns a daemon.
   *
   * @param name name of the daemon, such as {@code entry-0} or {@code agent-3}
   * @throws CassiaException when no daemon has this name
   */
  public Node node(String name) throws CassiaException {
    Node node = nodes.get(name);
    if (node == null) {
      throw CassiaException.of(
          Refusals.malformed("no daemon '" + name + "'; known: " + nodes.keySet()));
    }
    return node;
  }

  /**
   * Returns the id of the process in which a daemon runs.
   *
   * @throws CassiaException when no daemon has this name or its process is not running
   */
  public long processId(String name) throws CassiaException {
    return node(name) instanceof ProcessNode p ? p.pid() : ProcessHandle.current().pid();
  }

  /** Waits until every minion is known at every entry. */
  public void awaitMinions() throws InterruptedException {
    for (EntryAddresses entry : addresses) {
      while (fetchMinionCount(entry.operatorAddress()) < minions.size()) {
        Thread.sleep(POLL_INTERVAL.toMillis());
      }
    }
  }

  @Override
  public void close() {
    nodes.values().forEach(Node::close);
    minions.forEach(StandInMinion::close);
  }

  private void addEntry(String name) {
    EntryAddresses entryAddresses = EntryAddresses.allocate();
    addresses.add(entryAddresses);
    Path settings = files.writeEntrySettings(name, entryAddresses);
    nodes.put(
        name,
        spec.separateProcesses() != SeparateProcesses.NONE
            ? processNode(EntryMain.class, settings)
            : embeddedEntry(settings));
  }

  private void addAgent(int number) {
    TaskBehavior behavior = TaskBehavior.specifiedByInput().atSpeed(spec.speeds().get(number));
    StandInMinion minion = StandInMinion.start(Loopback.address(0), behavior);
    minions.add(minion);
    Path settings = files.writeAgentSettings(number, minion.url(), addresses);
    nodes.put(
        "agent-" + number,
        spec.separateProcesses() == SeparateProcesses.ALL
            ? processNode(AgentMain.class, settings)
            : embeddedAgent(settings));
  }

  private static Node processNode(Class<?> main, Path settings) {
    String options = System.getProperty("bench." + main.getSimpleName(), "").trim();
    return ProcessNode.of(
        main, settings, options.isEmpty() ? List.of() : List.of(options.split(" +", -1)));
  }

  private static Node embeddedEntry(Path settings) {
    return new EmbeddedNode(
        () -> {
          Entry entry = Entry.start(EntrySettings.read(settings), TimeSource.system());
          return () -> entry.stop(STOP_TIMEOUT);
        });
  }

  private static Node embeddedAgent(Path settings) {
    return new EmbeddedNode(
        () -> {
          Agent agent = Agent.start(AgentSettings.read(settings), TimeSource.system());
          return () -> agent.stop(STOP_TIMEOUT);
        });
  }

  private static int fetchMinionCount(InetSocketAddress operatorAddress) {
    String url =
        "http://"
            + operatorAddress.getHostString()
            + ":"
            + operatorAddress.getPort()
            + "/v1/status";
    String json =
        HttpClient.create()
            .get()
            .uri(url)
            .responseSingle((response, body) -> body.asString())
            // An entry in a separate process may not accept connections yet.
            .onErrorResume(error -> Mono.just("{}"))
            .block();
    return parseMinionCount(json);
  }

  private static int parseMinionCount(@Nullable String json) {
    try {
      return MAPPER.readTree(json == null ? "{}" : json).path("minions").size();
    } catch (JsonProcessingException e) {
      return 0;
    }
  }
}
