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

/** Shared functions of the commands that show or change the configuration. */
final class ConfigurationChanges {
  private ConfigurationChanges() {}

  static void declareAddress(Subparser parser) {
    AddressArguments.declare(
        parser, "operators", "127.0.0.1:7001", "address of the operators' API of an entry");
  }

  /** Parses the id of a change, or returns a new id if the text is null. */
  static ChangeId parseChangeId(@Nullable String text) throws CassiaException {
    try {
      return new ChangeId(text == null ? UUID.randomUUID() : UUID.fromString(text));
    } catch (IllegalArgumentException e) {
      throw CassiaException.of(Refusals.malformed("--change-id '" + text + "' is not a UUID"));
    }
  }

  /** Requests the configuration in force from an entry. */
  static ConfigurationView fetchInForce(OperatorClient client) throws CassiaException {
    ConfigurationView view = client.show(null).block();
    if (view == null) {
      throw CassiaException.of(Refusals.malformed("the entry returned no answer"));
    }
    return view;
  }

  /**
   * Sends a change and prints the answer. The change id is printed before the change is sent, so
   * that the change can be sent again if no answer arrives.
   *
   * @return the exit code
   */
  static int send(OperatorClient client, ChangeRequest request, PrintStream out)
      throws CassiaException {
    out.printf("change %s base %s%n", request.changeId(), request.base());
    ApplyResult result = client.apply(request).block();
    if (result == null) {
      out.println("connection closed without an answer; send the change again with the same id");
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
