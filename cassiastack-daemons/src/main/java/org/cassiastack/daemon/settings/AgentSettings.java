package org.cassiastack.daemon.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Minion;
import org.cassiastack.model.MinionId;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Worker;
import org.jspecify.annotations.Nullable;

/**
 * Settings of an agent.
 *
 * @param node identity of the agent
 * @param worker the worker on which the agent and its minions run
 * @param operatorAddress listen address of the pages for operators, or null to serve none
 * @param entryAddresses addresses of the entries to which the agent connects
 * @param minions the minions that the agent manages
 * @param retention how long the agent retains the record of a task after the task ended and after
 *     the key of its job was issued, whichever is later
 * @param maxRetainedTasks maximum number of task records that the agent retains
 * @since 0.1
 */
public record AgentSettings(
    NodeId node,
    Worker worker,
    @Nullable InetSocketAddress operatorAddress,
    List<InetSocketAddress> entryAddresses,
    List<MinionSettings> minions,
    Duration retention,
    int maxRetainedTasks) {
  private static final Duration DEFAULT_RETENTION = Duration.ofMinutes(10);
  private static final int DEFAULT_CAPACITY = 100_000;
  private static final int MAX_CAPACITY = 10_000_000;
  private static final int MAX_PROCESSORS = 4_096;
  private static final int MAX_SLOTS = 10_000;

  /**
   * A minion and the URL of its task endpoint.
   *
   * @param minion the minion
   * @param url URL to which the tasks of the minion are posted
   */
  public record MinionSettings(Minion minion, URI url) {}

  /**
   * Reads a settings file.
   *
   * @throws CassiaException with {@link ResultCode#INVALID_SETTINGS} for the first fault found
   */
  public static AgentSettings read(Path path) throws CassiaException {
    IniFile f = IniFile.read(path, ResultCode.INVALID_SETTINGS);
    Worker worker =
        new Worker(
            f.text("worker", "name"),
            f.text("worker", "rack"),
            new FailureDomain(f.text("worker", "failure-domain")),
            f.number("worker", "processors", 1, 1, MAX_PROCESSORS),
            f.number("worker", "memory-megabytes", 1_024, 1, Integer.MAX_VALUE));
    List<MinionSettings> minions = new ArrayList<>();
    for (String s : f.sections("minion")) {
      minions.add(readMinion(f, s, worker));
    }
    AgentSettings settings =
        new AgentSettings(
            new NodeId(f.text("node", "name")),
            worker,
            f.optionalAddress("operators", "listen"),
            f.addresses("entries", "addresses"),
            minions,
            f.duration("tasks", "retention", DEFAULT_RETENTION),
            f.number("tasks", "capacity", DEFAULT_CAPACITY, 1, MAX_CAPACITY));
    f.refuseUnknownKeys();
    return settings;
  }

  private static MinionSettings readMinion(IniFile f, String s, Worker worker)
      throws CassiaException {
    Minion minion =
        new Minion(
            new MinionId(IniFile.nameOf(s)),
            new ServiceName(f.text(s, "service")),
            worker,
            f.number(s, "slots", 1, 1, MAX_SLOTS),
            f.number(s, "connections", 64, 1, MAX_SLOTS));
    return new MinionSettings(minion, f.url(s, "url"));
  }
}
