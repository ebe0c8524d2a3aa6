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
  private final LocalSystemSpec spec;
  private final Path folder;

  SettingsFiles(LocalSystemSpec spec) {
    this.spec = spec;
    try {
      folder = Files.createTempDirectory("cassiastack");
      Files.createDirectory(folder.resolve("configuration"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    write("configuration/all.ini", configurationText());
  }

  /** Returns the temporary folder that holds the settings files. */
  Path folder() {
    return folder;
  }

  /**
   * Returns a loopback address with a port that is free now. The port is fixed in the settings, so
   * that a restarted daemon listens on the same address.
   */
  static InetSocketAddress freeAddress() {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(Loopback.address(0));
      return (InetSocketAddress) socket.getLocalSocketAddress();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Writes the settings file of an entry and returns its path. */
  Path writeEntrySettings(String name, EntryAddresses addresses) {
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
                hostAndPort(addresses.callerAddress()),
                hostAndPort(addresses.operatorAddress()),
                hostAndPort(addresses.peerAddress()),
                folder.resolve("configuration")));
  }

  /**
   * Writes the settings file of an agent with one minion and returns its path.
   *
   * @param number number of the agent, from 0
   * @param minion URL at which the minion takes tasks
   * @param entries addresses of all entries
   */
  Path writeAgentSettings(int number, URI minion, List<EntryAddresses> entries) {
    String peers =
        entries.stream()
            .map(entry -> hostAndPort(entry.peerAddress()))
            .collect(Collectors.joining(", "));
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
                domainName(number % spec.failureDomains()),
                peers,
                spec.service(),
                spec.slots(),
                minion));
  }

  private String configurationText() {
    String domains =
        IntStream.range(0, spec.failureDomains())
            .mapToObj(number -> "[failure-domain " + domainName(number) + "]\n")
            .collect(Collectors.joining());
    String customers =
        spec.customers().stream()
            .map(customer -> "[customer " + customer + "]\n")
            .collect(Collectors.joining());
    return domains + "[service " + spec.service() + "]\n" + customers;
  }

  private static String domainName(int number) {
    return "domain-" + (number + 1);
  }

  private Path write(String name, String text) {
    try {
      return Files.writeString(folder.resolve(name), text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static String hostAndPort(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** The addresses on which one entry listens. */
  record EntryAddresses(
      InetSocketAddress callerAddress,
      InetSocketAddress operatorAddress,
      InetSocketAddress peerAddress) {
    /** Returns three free loopback addresses. */
    static EntryAddresses allocate() {
      return new EntryAddresses(freeAddress(), freeAddress(), freeAddress());
    }
  }
}
