package org.cassiastack.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Settings of an entry.
 *
 * @param node identity of the process
 * @param callerAddress where callers are served
 * @param operatorAddress where operators are served
 * @param peerAddress where agents and other entries connect
 * @param configurationFolder folder of declarative files that is applied once while nothing is in
 *     force, or null
 * @param retention how long answers are kept
 * @param agentLease how long an agent is known after its last announcement
 * @param memberAddresses where the control members' peers connect, in order; none means this entry
 *     alone
 * @param dataFolder folder of the replicated log of a control member; none keeps the log in memory,
 *     which only a single member may do
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
    @Nullable Path dataFolder) {
  private static final Duration DEFAULT_RETENTION = Duration.ofMinutes(10);
  private static final Duration DEFAULT_LEASE = Duration.ofSeconds(3);

  /** Makes settings; the order of the members is kept. */
  public EntrySettings {
    memberAddresses = Collections.unmodifiableMap(new LinkedHashMap<>(memberAddresses));
  }

  /**
   * Reads a settings file.
   *
   * @throws CassiaException with {@link ResultCode#INVALID_SETTINGS} naming the first fault
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
            f.duration("agents", "lease", DEFAULT_LEASE),
            f.nodes("control", "members"),
            f.has("control", "folder") ? Path.of(f.text("control", "folder")) : null);
    settings.checkMembers(f);
    f.refuseUnknownKeys();
    return settings;
  }

  /** Returns the control members by name; this entry alone when none are named. */
  public Set<NodeId> memberNames() {
    return memberAddresses.isEmpty() ? Set.of(node) : memberAddresses.keySet();
  }

  private void checkMembers(IniFile f) throws CassiaException {
    if (memberAddresses.size() > 1 && memberAddresses.containsKey(node) && dataFolder == null) {
      throw f.refusal("control", "folder", "", "a folder, since several members need a disk each");
    }
  }
}
