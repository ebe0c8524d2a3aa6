package org.cassiastack.daemon.settings;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.ResultCode;

/**
 * Settings of an entry.
 *
 * @param node identity of the process
 * @param callers where callers are served
 * @param operators where operators are served
 * @param peers where agents and other entries connect
 * @param configuration folder of declarative files that is in force from the start
 * @param retention how long answers are kept
 * @param lease how long an agent is known after its last announcement
 * @since 0.1
 */
public record EntrySettings(
    NodeId node,
    InetSocketAddress callers,
    InetSocketAddress operators,
    InetSocketAddress peers,
    Path configuration,
    Duration retention,
    Duration lease) {
  private static final Duration DEFAULT_RETENTION = Duration.ofMinutes(10);
  private static final Duration DEFAULT_LEASE = Duration.ofSeconds(3);

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
            Path.of(f.text("configuration", "folder")),
            f.duration("jobs", "retention", DEFAULT_RETENTION),
            f.duration("agents", "lease", DEFAULT_LEASE));
    f.finish();
    return settings;
  }
}
