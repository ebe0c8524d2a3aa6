package org.cassiastack.daemon.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.configuration.FailureDomainSpec;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.Refusal;
import org.cassiastack.model.ResultCode;
import org.cassiastack.model.Revision;

/**
 * Formats a configuration as one declarative file. Sections are sorted by name within each kind,
 * and every value is written, including defaults.
 *
 * @since 0.1
 */
public final class ConfigurationText {
  private ConfigurationText() {}

  /** Returns text that {@link ConfigurationFiles} parses to the same configuration. */
  public static String write(Configuration c) {
    StringBuilder out = new StringBuilder();
    c.failureDomains().values().stream()
        .sorted(Comparator.comparing(d -> d.name().name()))
        .forEach(
            d ->
                out.append(
                    "[failure-domain %s]%nregion = %s%nstate = %s%n%n"
                        .formatted(d.name(), d.region(), d.inService() ? "in" : "out")));
    c.services().values().stream()
        .sorted(Comparator.comparing(s -> s.name().name()))
        .forEach(
            s ->
                out.append(
                    "[service %s]%nexpected-run-time = %dms%ndefault-timeout = %dms%n%n"
                        .formatted(
                            s.name(),
                            s.expectedRunTime().toMillis(),
                            s.defaultTimeout().toMillis())));
    c.customers().values().stream()
        .sorted(Comparator.comparing(x -> x.name().name()))
        .forEach(
            x ->
                out.append(
                    "[customer %s]%ntasks-per-second = %d%nconcurrent-tasks = %d%n%n"
                        .formatted(x.name(), x.maxTasksPerSecond(), x.maxConcurrentTasks())));
    return out.toString();
  }

  /**
   * Changes the state of one failure domain in text returned by {@link #write}.
   *
   * @return the changed text
   * @throws CassiaException if the text does not declare the failure domain
   */
  public static String withDomainState(String text, FailureDomain domain, boolean inService)
      throws CassiaException {
    Configuration before =
        ConfigurationFiles.parse(new TreeMap<>(Map.of("in-force", text)), Revision.NONE);
    FailureDomainSpec spec = before.failureDomains().get(domain);
    if (spec == null) {
      throw CassiaException.of(
          new Refusal(
              ResultCode.INVALID_CONFIGURATION,
              ("Failure domain '%s' is not declared in the configuration in force. Nothing "
                      + "changed. Check the name with 'cassia show'.")
                  .formatted(domain)));
    }
    Map<FailureDomain, FailureDomainSpec> domains = new HashMap<>(before.failureDomains());
    domains.put(domain, new FailureDomainSpec(domain, spec.region(), inService));
    return write(
        new Configuration(before.revision(), before.services(), domains, before.customers()));
  }

  /**
   * Returns the lines with a key and a value in text returned by {@link #write}, each preceded by
   * the header of its section.
   */
  public static List<String> values(String text) {
    List<String> values = new ArrayList<>();
    String section = "";
    for (String line : text.lines().toList()) {
      if (line.startsWith("[")) {
        section = line;
      } else if (!line.isBlank()) {
        values.add(section + " " + line);
      }
    }
    return values;
  }
}
