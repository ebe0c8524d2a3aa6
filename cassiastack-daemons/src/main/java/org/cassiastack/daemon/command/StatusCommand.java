package org.cassiastack.daemon.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;
import org.jspecify.annotations.Nullable;
import reactor.netty.http.client.HttpClient;

/** Prints the status of an entry: the revision in force, the failure domains and the minions. */
public final class StatusCommand implements Command {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  @Override
  public String name() {
    return "status";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("print the status of an entry");
    AddressArguments.declare(
        parser, "operators", "127.0.0.1:7001", "address of the operators' API of an entry");
    parser.addArgument("--json").action(Arguments.storeTrue()).help("print the status as JSON");
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    String json = fetch(AddressArguments.parse(arguments, "operators"));
    if (arguments.getBoolean("json")) {
      out.println(json);
    } else {
      print(parse(json), out);
    }
    return ExitCodes.OK;
  }

  /** Prints the status as tables. */
  static void print(JsonNode status, PrintStream out) {
    out.printf("node      %s%n", status.path("node").asText());
    out.printf("revision  %d%n", status.path("revision").asLong());
    out.printf("%n%-20s %s%n", "FAILURE DOMAIN", "STATE");
    status
        .path("failureDomains")
        .properties()
        .forEach(
            d -> out.printf("%-20s %s%n", d.getKey(), d.getValue().asBoolean() ? "in" : "out"));
    out.printf(
        "%n%-20s %-14s %-20s %-20s %5s%n", "MINION", "SERVICE", "AGENT", "FAILURE DOMAIN", "SLOTS");
    for (JsonNode m : status.path("minions")) {
      out.printf(
          "%-20s %-14s %-20s %-20s %5d%n",
          m.path("minion").asText(),
          m.path("service").asText(),
          m.path("agent").asText(),
          m.path("failureDomain").asText(),
          m.path("slots").asInt());
    }
  }

  private static String fetch(InetSocketAddress address) throws CassiaException {
    String url = "http://" + address.getHostString() + ":" + address.getPort() + "/v1/status";
    @Nullable String json =
        HttpClient.create()
            .get()
            .uri(url)
            .responseSingle((response, body) -> body.asString())
            .block();
    if (json == null) {
      throw CassiaException.of(Refusals.malformed("the status page of " + url + " is empty"));
    }
    return json;
  }

  private static JsonNode parse(String json) throws CassiaException {
    try {
      return MAPPER.readTree(json);
    } catch (JsonProcessingException e) {
      throw CassiaException.of(Refusals.malformed("the status is not valid JSON"));
    }
  }
}
