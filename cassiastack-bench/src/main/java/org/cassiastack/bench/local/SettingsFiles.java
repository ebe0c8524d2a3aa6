package org.cassiastack.bench.local;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cassiastack.bench.minion.Loopback;

/** Writes the settings of a local system's daemons into a temporary folder. */
final class SettingsFiles {
  private final LocalSystemSpec shape;
  private final Path folder;

  SettingsFiles(LocalSystemSpec shape) {
    this.shape = shape;
    try {
      folder = Files.createTempDirectory("cassiastack");
      Files.createDirectory(folder.resolve("configuration"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    write("configuration/all.ini", configuration());
  }

  /** Returns the folder. */
  Path folder() {
    return folder;
  }

  /** Returns a loopback address that is free at present, so that a daemon can come back to it. */
  static InetSocketAddress freeAddress() {
    try (ServerSocket s = new ServerSocket()) {
      s.bind(Loopback.address(0));
      return (InetSocketAddress) s.getLocalSocketAddress();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  Path writeEntrySettings(String name, EntryAddresses at) {
    return write(
        name + ".ini",
        """
        [node]
        name = %s
        [callers]
        listen = %s
        [operators]
        listen = %s
        [peers]
        listen = %s
        [configuration]
        folder = %s
        """
            .formatted(
                name,
                text(at.callerAddress()),
                text(at.operatorAddress()),
                text(at.peerAddress()),
                folder.resolve("configuration")));
  }

  Path writeAgentSettings(int number, URI minion, List<EntryAddresses> entries) {
    String peers =
        entries.stream().map(e -> text(e.peerAddress())).collect(Collectors.joining(", "));
    return write(
        "agent-" + number + ".ini",
        """
        [node]
        name = agent-%1$d
        [worker]
        name = worker-%1$d
        rack = rack-%2$d
        failure-domain = %3$s
        processors = 32
        memory-megabytes = 65536
        [entries]
        addresses = %4$s
        [minion minion-%1$d]
        service = %5$s
        slots = %6$d
        connections = 64
        url = %7$s
        """
            .formatted(
                number,
                number / 3,
                domain(number % shape.failureDomains()),
                peers,
                shape.service(),
                shape.slots(),
                minion));
  }

  private String configuration() {
    String domains =
        IntStream.range(0, shape.failureDomains())
            .mapToObj(i -> "[failure-domain " + domain(i) + "]\n")
            .collect(Collectors.joining());
    String customers =
        shape.customers().stream().map(c -> "[customer " + c + "]\n").collect(Collectors.joining());
    return domains + "[service " + shape.service() + "]\n" + customers;
  }

  private static String domain(int number) {
    return "domain-" + (number + 1);
  }

  private Path write(String name, String text) {
    try {
      return Files.writeString(folder.resolve(name), text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String text(InetSocketAddress a) {
    return a.getAddress().getHostAddress() + ":" + a.getPort();
  }

  /** Where one entry listens. */
  record EntryAddresses(
      InetSocketAddress callerAddress,
      InetSocketAddress operatorAddress,
      InetSocketAddress peerAddress) {
    static EntryAddresses allocate() {
      return new EntryAddresses(freeAddress(), freeAddress(), freeAddress());
    }
  }
}
