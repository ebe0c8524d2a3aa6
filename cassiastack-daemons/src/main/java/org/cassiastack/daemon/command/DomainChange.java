package org.cassiastack.daemon.command;

import java.io.PrintStream;
import java.util.SortedMap;
import java.util.TreeMap;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.daemon.settings.ConfigurationText;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.model.ResultCode;
import org.cassiastack.transport.http.ChangeRequest;
import org.cassiastack.transport.http.ConfigurationView;
import org.cassiastack.transport.http.OperatorClient;

/** Takes one failure domain out of service or returns it to service; changes nothing else. */
final class DomainChange {
  private static final int MAX_ATTEMPTS = 5;

  private DomainChange() {}

  /** Declares the arguments of the commands that change a failure domain. */
  static void declare(Subparser parser) {
    ConfigurationChanges.declareAddress(parser);
    parser.addArgument("domain").metavar("DOMAIN").help("name of the failure domain");
  }

  /**
   * Applies the change to the configuration in force. If another change was accepted in the
   * meantime, tries again with the newer configuration, up to {@link #MAX_ATTEMPTS} attempts.
   */
  static int run(Namespace arguments, boolean inService, PrintStream out) throws CassiaException {
    FailureDomain domain = new FailureDomain(arguments.getString("domain"));
    OperatorClient client = OperatorClient.create(AddressArguments.parse(arguments, "operators"));
    for (int attempt = 1; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        return tryOnce(client, domain, inService, out);
      } catch (CassiaException e) {
        if (e.refusal().code() != ResultCode.STALE_BASE) {
          throw e;
        }
      }
    }
    return tryOnce(client, domain, inService, out);
  }

  private static int tryOnce(
      OperatorClient client, FailureDomain domain, boolean inService, PrintStream out)
      throws CassiaException {
    ConfigurationView view = ConfigurationChanges.fetchInForce(client);
    SortedMap<String, String> files = new TreeMap<>();
    files.put("all.ini", ConfigurationText.withDomainState(view.text(), domain, inService));
    return ConfigurationChanges.send(
        client,
        new ChangeRequest(ConfigurationChanges.parseChangeId(null), view.revision(), files),
        out);
  }
}
