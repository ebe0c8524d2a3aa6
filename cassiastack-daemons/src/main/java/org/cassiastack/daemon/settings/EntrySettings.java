package org.cassiastack.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.cassiastack.consensus.RaftSettings;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Settings of an entry.
 *
 * @param node identity of the entry
 * @param callerAddress listen address of the callers' API
 * @param operatorAddress listen address of the operators' API
 * @param peerAddress listen address for connections of agents and other entries
 * @param configurationFolder folder of declarative files that are applied at the start if no
 *     configuration is in force yet, or null
 * @param retention how long the answers to jobs are retained
 * @param agentLease time without an announcement after which an agent is removed
 * @param memberAddresses addresses at which the control members accept connections of peers, in the
 *     order of the settings file; empty if this entry is the only control member
 * @param dataFolder folder of the replicated log of a control member, or null to hold the log in
 *     memory, which is allowed only for a single control member
 * @param maxLogBytes size in bytes at which the replicated log is replaced by a snapshot
 * @since 0.1
 */
public record EntrySettings(
    NodeId node,
    InetSocketAddress callerAddress,
    InetSocketAddress operatorAddress,
    InetSocketAddress peerAddress,
    @Nullable Path configurationFolder,
    Duration retention,
    Duration agentLease,
    Map<NodeId, InetSocketAddress> memberAddresses,
    @Nullable Path dataFolder,
    long maxLogBytes) {
  private static final Duration DEFAULT_RETENTION = Duration.ofMinutes(10);
  private static final Duration DEFAULT_AGENT_LEASE = Duration.ofSeconds(3);
  private static final long BYTES_PER_KILOBYTE = 1_024;
  private static final int DEFAULT_LOG_KILOBYTES =
      (int) (RaftSettings.DEFAULT_SNAPSHOT_THRESHOLD_BYTES / BYTES_PER_KILOBYTE);
  private static final int MAX_LOG_KILOBYTES = 1 << 20;

  /** Creates settings; the members are copied and remain in order. */
  public EntrySettings {
    memberAddresses = Collections.unmodifiableMap(new LinkedHashMap<>(memberAddresses));
  }

  /**
   * Reads a settings file.
   *
   * @throws CassiaException with {@link ResultCode#INVALID_SETTINGS} for the first fault found
   */
  public static EntrySettings read(Path path) throws CassiaException {
    IniFile f = IniFile.read(path, ResultCode.INVALID_SETTINGS);
    EntrySettings settings =
        new EntrySettings(
            new NodeId(f.text("node", "name")),
            f.address("callers", "listen", "127.0.0.1:7000"),
            f.address("operators", "listen", "127.0.0.1:7001"),
            f.address("peers", "listen", "127.0.0.1:7002"),
            f.has("configuration", "folder") ? Path.of(f.text("configuration", "folder")) : null,
            f.duration("jobs", "retention", DEFAULT_RETENTION),
            f.duration("agents", "lease", DEFAULT_AGENT_LEASE),
            f.nodes("control", "members"),
            f.has("control", "folder") ? Path.of(f.text("control", "folder")) : null,
            f.number("control", "log-kilobytes", DEFAULT_LOG_KILOBYTES, 1, MAX_LOG_KILOBYTES)
                * BYTES_PER_KILOBYTE);
    settings.refuseMembersWithoutDataFolder(f);
    f.refuseUnknownKeys();
    return settings;
  }

  /** Returns the nodes of the control members; only this entry if the settings list none. */
  public Set<NodeId> memberNames() {
    return memberAddresses.isEmpty() ? Set.of(node) : memberAddresses.keySet();
  }

  private void refuseMembersWithoutDataFolder(IniFile f) throws CassiaException {
    if (memberAddresses.size() > 1 && memberAddresses.containsKey(node) && dataFolder == null) {
      throw f.refusal(
          "control",
          "folder",
          "",
          "a folder, because each of several members needs its own data folder");
    }
  }
}
