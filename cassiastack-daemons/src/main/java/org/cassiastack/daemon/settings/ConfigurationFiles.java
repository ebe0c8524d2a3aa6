package org.cassiastack.daemon.settings;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.CustomerSpec;
import org.cassiastack.configuration.FailureDomainSpec;
import org.cassiastack.configuration.ServiceSpec;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Customer;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Refusal;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;
import org.cassiastack.model.ServiceName;
import org.jspecify.annotations.Nullable;

/**
 * Reads a set of declarative files that together make up one configuration. An example of a file:
 *
 * <pre>{@code
 * [failure-domain north]
 * region = steppe
 * state = in
 *
 * [service ice]
 * expected-run-time = 200ms
 *
 * [customer ayaz]
 * tasks-per-second = 500
 * }</pre>
 *
 * @since 0.1
 */
public final class ConfigurationFiles {
  private static final int MAX_TASKS = 10_000_000;
  private static final int DEFAULT_TASKS = 100_000;
  private static final Duration DEFAULT_RUN_TIME = Duration.ofMillis(200);
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(60);

  private final Map<ServiceName, ServiceSpec> services = new HashMap<>();
  private final Map<FailureDomain, FailureDomainSpec> domains = new HashMap<>();
  private final Map<Customer, CustomerSpec> customers = new HashMap<>();

  private ConfigurationFiles() {}

  /**
   * Reads all {@code .ini} files in a folder, without its subfolders.
   *
   * @return the content of each file by file name, sorted by name
   * @throws CassiaException if the folder cannot be read or contains no {@code .ini} file
   */
  public static SortedMap<String, String> readFolder(Path folder) throws CassiaException {
    SortedMap<String, String> texts = new TreeMap<>();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path f : files.filter(p -> p.toString().endsWith(".ini")).toList()) {
        texts.put(String.valueOf(f.getFileName()), Files.readString(f));
      }
    } catch (IOException e) {
      throw invalid("Folder %s cannot be read: %s.".formatted(folder, e.getMessage()));
    }
    if (texts.isEmpty()) {
      throw invalid("Folder %s contains no .ini file.".formatted(folder));
    }
    return texts;
  }

  /**
   * Parses a set of files.
   *
   * @param texts content of each file by file name
   * @param revision revision of the returned configuration
   * @throws CassiaException with {@link ResultCode#INVALID_CONFIGURATION} for the first fault found
   */
  public static Configuration parse(SortedMap<String, String> texts, Revision revision)
      throws CassiaException {
    ConfigurationFiles files = new ConfigurationFiles();
    for (Map.Entry<String, String> e : texts.entrySet()) {
      files.add(
          IniFile.parse(
              e.getKey(), new StringReader(e.getValue()), ResultCode.INVALID_CONFIGURATION));
    }
    return new Configuration(revision, files.services, files.domains, files.customers);
  }

  private void add(IniFile file) throws CassiaException {
    for (String s : file.sections("service")) {
      ServiceName name = new ServiceName(IniFile.nameOf(s));
      Duration runTime = file.duration(s, "expected-run-time", DEFAULT_RUN_TIME);
      Duration timeout = file.duration(s, "default-timeout", DEFAULT_TIMEOUT);
      refuseDuplicate(file, s, services.put(name, new ServiceSpec(name, runTime, timeout)));
    }
    for (String s : file.sections("failure-domain")) {
      FailureDomain name = new FailureDomain(IniFile.nameOf(s));
      String region = file.text(s, "region", "default");
      boolean inService = file.choice(s, "state", "in", "out", true);
      refuseDuplicate(file, s, domains.put(name, new FailureDomainSpec(name, region, inService)));
    }
    for (String s : file.sections("customer")) {
      Customer name = new Customer(IniFile.nameOf(s));
      int tasksPerSecond = file.number(s, "tasks-per-second", DEFAULT_TASKS, 0, MAX_TASKS);
      int concurrentTasks = file.number(s, "concurrent-tasks", DEFAULT_TASKS, 0, MAX_TASKS);
      refuseDuplicate(
          file, s, customers.put(name, new CustomerSpec(name, tasksPerSecond, concurrentTasks)));
    }
    file.refuseUnknownKeys();
  }

  private static void refuseDuplicate(IniFile file, String section, @Nullable Object previous)
      throws CassiaException {
    if (previous != null) {
      throw file.refusal(section, "", "", "only one section of this name in all files");
    }
  }

  private static CassiaException invalid(String message) {
    return CassiaException.of(new Refusal(ResultCode.INVALID_CONFIGURATION, message));
  }
}
