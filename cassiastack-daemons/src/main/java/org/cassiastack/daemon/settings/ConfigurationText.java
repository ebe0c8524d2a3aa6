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
 * Writes a configuration as one declarative file: sorted, with every value given.
 *
 * @since 0.1
 */
public final class ConfigurationText {
  private ConfigurationText() {}

  /** Returns text that {@link ConfigurationFiles} reads back as the same configuration. */
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
                        .formatted(x.name(), x.tasksPerSecond(), x.concurrentTasks())));
    return out.toString();
  }

  /**
   * Returns text that {@link #write} gave, with the state of one failure domain changed.
   *
   * @throws CassiaException when the text declares no such failure domain
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

  /** Returns each value of a text that {@link #write} gave, with its section and key. */
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
