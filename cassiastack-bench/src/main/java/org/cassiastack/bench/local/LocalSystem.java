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
 * Entries, agents and stand-in minions on loopback ports that are free.
 *
 * <ol>
 *   <li>{@link #start} starts the daemons, in this process or each in its own.
 *   <li>{@link #awaitMinions} returns once every entry knows every minion.
 *   <li>System properties {@code bench.AgentMain} and {@code bench.EntryMain} hold options for the
 *       Java machine of daemons in processes of their own.
 *   <li>{@link #node} gives a daemon by its name, such as {@code agent-3}, to stop or kill it.
 * </ol>
 *
 * @since 0.1
 */
public final class LocalSystem implements AutoCloseable {
  private static final Duration STOP_PATIENCE = Duration.ofSeconds(5);
  private static final Duration POLL = Duration.ofMillis(20);
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final LocalSystemSpec shape;
  private final SettingsFiles files;
  private final List<EntryAddresses> addresses = new ArrayList<>();
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final List<StandInMinion> minions = new ArrayList<>();

  private LocalSystem(LocalSystemSpec shape) {
    this.shape = shape;
    this.files = new SettingsFiles(shape);
  }

  /**
   * Starts a system.
   *
   * @throws CassiaException when a daemon refuses its settings
   */
  public static LocalSystem start(LocalSystemSpec shape) throws CassiaException {
    LocalSystem system = new LocalSystem(shape);
    for (int i = 0; i < shape.entries(); i++) {
      system.addEntry("entry-" + i);
    }
    for (int i = 0; i < shape.speeds().size(); i++) {
      system.addAgent(i);
    }
    for (Node node : system.nodes.values()) {
      node.start();
    }
    return system;
  }

  /** Returns the service that the minions offer. */
  public ServiceName service() {
    return new ServiceName(shape.service());
  }

  /** Returns the callers' address of each entry. */
  public List<InetSocketAddress> callerAddresses() {
    return addresses.stream().map(EntryAddresses::callerAddress).toList();
  }

  /** Returns the operators' address of each entry. */
  public List<InetSocketAddress> operatorAddresses() {
    return addresses.stream().map(EntryAddresses::operatorAddress).toList();
  }

  /** Returns the address where agents connect, of each entry. */
  public List<InetSocketAddress> peerAddresses() {
    return addresses.stream().map(EntryAddresses::peerAddress).toList();
  }

  /** Returns the stand-in minions. */
  public List<StandInMinion> minions() {
    return List.copyOf(minions);
  }

  /** Returns the folder with the settings and, for daemons in processes of their own, the logs. */
  public Path folder() {
    return files.folder();
  }

  /**
   * Finds a daemon.
   *
   * @param name its name, such as {@code entry-0} or {@code agent-3}
   */
  public Node node(String name) throws CassiaException {
    Node node = nodes.get(name);
    if (node == null) {
      throw CassiaException.of(
          Refusals.malformed("no process '" + name + "'; there are " + nodes.keySet()));
    }
    return node;
  }

  /** Returns the id of a daemon's own process. */
  public long processId(String name) throws CassiaException {
    return node(name) instanceof ProcessNode p ? p.pid() : ProcessHandle.current().pid();
  }

  /** Waits until every entry knows every minion. */
  public void awaitMinions() throws InterruptedException {
    for (EntryAddresses a : addresses) {
      while (minionsKnownTo(a.operatorAddress()) < minions.size()) {
        Thread.sleep(POLL.toMillis());
      }
    }
  }

  @Override
  public void close() {
    nodes.values().forEach(Node::close);
    minions.forEach(StandInMinion::close);
  }

  private void addEntry(String name) {
    EntryAddresses at = EntryAddresses.allocate();
    addresses.add(at);
    Path settings = files.writeEntrySettings(name, at);
    nodes.put(
        name,
        shape.separateProcesses() != SeparateProcesses.NONE
            ? process(EntryMain.class, settings)
            : entry(settings));
  }

  private void addAgent(int number) {
    TaskBehavior behavior = TaskBehavior.specifiedByInput().atSpeed(shape.speeds().get(number));
    StandInMinion minion = StandInMinion.start(Loopback.address(0), behavior);
    minions.add(minion);
    Path settings = files.writeAgentSettings(number, minion.url(), addresses);
    nodes.put(
        "agent-" + number,
        shape.separateProcesses() == SeparateProcesses.ALL
            ? process(AgentMain.class, settings)
            : agent(settings));
  }

  private static Node process(Class<?> main, Path settings) {
    String options = System.getProperty("bench." + main.getSimpleName(), "").trim();
    return ProcessNode.of(
        main, settings, options.isEmpty() ? List.of() : List.of(options.split(" +", -1)));
  }

  private static Node entry(Path settings) {
    return new EmbeddedNode(
        () -> {
          Entry e = Entry.start(EntrySettings.read(settings), TimeSource.system());
          return () -> e.stop(STOP_PATIENCE);
        });
  }

  private static Node agent(Path settings) {
    return new EmbeddedNode(
        () -> {
          Agent a = Agent.start(AgentSettings.read(settings), TimeSource.system());
          return () -> a.stop(STOP_PATIENCE);
        });
  }

  private static int minionsKnownTo(InetSocketAddress operators) {
    String url = "http://" + operators.getHostString() + ":" + operators.getPort() + "/v1/status";
    String json =
        HttpClient.create()
            .get()
            .uri(url)
            .responseSingle((response, body) -> body.asString())
            // An entry in a process of its own may not listen yet.
            .onErrorResume(e -> Mono.just("{}"))
            .block();
    return countMinions(json);
  }

  private static int countMinions(@Nullable String json) {
    try {
      return MAPPER.readTree(json == null ? "{}" : json).path("minions").size();
    } catch (JsonProcessingException e) {
      return 0;
    }
  }
}
