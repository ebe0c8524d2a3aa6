package org.cassiastack.daemon.command;

import java.io.PrintStream;
import java.util.UUID;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.configuration.ApplyResult;
import org.cassiastack.configuration.ChangeId;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusal;
import org.cassiastack.model.Refusals;
import org.cassiastack.model.ResultCode;
import org.cassiastack.transport.http.ChangeRequest;
import org.cassiastack.transport.http.ConfigurationView;
import org.cassiastack.transport.http.OperatorClient;
import org.jspecify.annotations.Nullable;

/** What the commands that change the configuration have in common. */
final class ConfigurationChanges {
  private ConfigurationChanges() {}

  static void declareAddress(Subparser parser) {
    AddressArguments.declare(
        parser, "operators", "127.0.0.1:7001", "operators' address of an entry");
  }

  static ChangeId parseChangeId(@Nullable String text) throws CassiaException {
    try {
      return new ChangeId(text == null ? UUID.randomUUID() : UUID.fromString(text));
    } catch (IllegalArgumentException e) {
      throw CassiaException.of(Refusals.malformed("--change-id '" + text + "' is no UUID"));
    }
  }

  static ConfigurationView fetchInForce(OperatorClient client) throws CassiaException {
    ConfigurationView shown = client.show(null).block();
    if (shown == null) {
      throw CassiaException.of(Refusals.malformed("the entry gave no answer"));
    }
    return shown;
  }

  /** Sends a change and prints its answer; the id is printed first, for sending it again. */
  static int send(OperatorClient client, ChangeRequest request, PrintStream out)
      throws CassiaException {
    out.printf("change %s base %s%n", request.changeId(), request.base());
    ApplyResult result = client.apply(request).block();
    if (result == null) {
      out.println("the connection ended without an answer; send the change again with its id");
      return ExitCodes.UNREACHABLE;
    }
    if (result.code() != ResultCode.ACCEPTED) {
      Refusal refusal = Refusals.notApplied(result.code(), result.revision());
      throw CassiaException.of(refusal);
    }
    out.printf("accepted revision %s%n", result.revision());
    return ExitCodes.OK;
  }
}
