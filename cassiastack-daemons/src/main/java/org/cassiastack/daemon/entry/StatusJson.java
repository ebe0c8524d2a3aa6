package org.cassiastack.daemon.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cassiastack.configuration.Configuration;
import org.cassiastack.membership.AvailableMinion;
import org.cassiastack.membership.MinionsChanged;
import org.cassiastack.model.NodeId;

/** Encodes the status of an entry as JSON for operators. */
final class StatusJson {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private StatusJson() {}

  static String write(NodeId self, Configuration inForce, MinionsChanged minions) {
    List<MinionStatus> minionStatuses =
        minions.available().stream().map(StatusJson::status).toList();
    Map<String, Boolean> domains = new TreeMap<>();
    inForce.failureDomains().forEach((name, spec) -> domains.put(name.name(), spec.inService()));
    try {
      return MAPPER.writeValueAsString(
          new Status(self.name(), inForce.revision().value(), domains, minionStatuses));
    } catch (JsonProcessingException e) {
      // Records that contain only strings, numbers and booleans can always be encoded.
      throw new UncheckedIOException(e);
    }
  }

  private static MinionStatus status(AvailableMinion m) {
    return new MinionStatus(
        m.minion().id().name(),
        m.minion().service().name(),
        m.agent().name(),
        m.minion().failureDomain().name(),
        m.minion().slots());
  }

  private record Status(
      String node,
      long revision,
      Map<String, Boolean> failureDomains,
      List<MinionStatus> minions) {}

  private record MinionStatus(
      String minion, String service, String agent, String failureDomain, int slots) {}
}
