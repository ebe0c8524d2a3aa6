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
 * @param node identity of the process
 * @param worker the worker that it runs on
 * @param operatorAddress where operators are served, or null for nowhere
 * @param entryAddresses the entries that it announces itself to
 * @param minions the minions that it stands for
 * @param retention how long it remembers a task that ended
 * @param maxRetainedTasks largest number of tasks that it remembers
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
  private static final int MOST_CAPACITY = 10_000_000;
  private static final int MOST_PROCESSORS = 4_096;
  private static final int MOST_SLOTS = 10_000;

  /**
   * A minion and where it takes tasks.
   *
   * @param minion the minion
   * @param url where it takes tasks
   */
  public record MinionSettings(Minion minion, URI url) {}

  /**
   * Reads a settings file.
   *
   * @throws CassiaException with {@link ResultCode#INVALID_SETTINGS} naming the first fault
   */
  public static AgentSettings read(Path path) throws CassiaException {
    IniFile f = IniFile.read(path, ResultCode.INVALID_SETTINGS);
    Worker worker =
        new Worker(
            f.text("worker", "name"),
            f.text("worker", "rack"),
            new FailureDomain(f.text("worker", "failure-domain")),
            f.number("worker", "processors", 1, 1, MOST_PROCESSORS),
            f.number("worker", "memory-megabytes", 1_024, 1, Integer.MAX_VALUE));
    List<MinionSettings> minions = new ArrayList<>();
    for (String s : f.sections("minion")) {
      minions.add(minion(f, s, worker));
    }
    AgentSettings settings =
        new AgentSettings(
            new NodeId(f.text("node", "name")),
            worker,
            f.optionalAddress("operators", "listen"),
            f.addresses("entries", "addresses"),
            minions,
            f.duration("tasks", "retention", DEFAULT_RETENTION),
            f.number("tasks", "capacity", DEFAULT_CAPACITY, 1, MOST_CAPACITY));
    f.refuseUnknownKeys();
    return settings;
  }

  private static MinionSettings minion(IniFile f, String s, Worker worker) throws CassiaException {
    Minion m =
        new Minion(
            new MinionId(IniFile.nameOf(s)),
            new ServiceName(f.text(s, "service")),
            worker,
            f.number(s, "slots", 1, 1, MOST_SLOTS),
            f.number(s, "connections", 64, 1, MOST_SLOTS));
    return new MinionSettings(m, f.url(s, "url"));
  }
}
