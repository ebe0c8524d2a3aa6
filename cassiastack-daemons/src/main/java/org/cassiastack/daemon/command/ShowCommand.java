package org.cassiastack.daemon.command;

import java.io.PrintStream;
import java.util.Set;
import java.util.TreeSet;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.daemon.settings.ConfigurationText;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;
import org.cassiastack.model.Revision;
import org.cassiastack.transport.http.ConfigurationView;
import org.cassiastack.transport.http.OperatorClient;
import org.jspecify.annotations.Nullable;

/** Prints a revision of the configuration, or the differences between two revisions. */
public final class ShowCommand implements Command {
  @Override
  public String name() {
    return "show";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("print a revision of the configuration, or the differences between two revisions");
    ConfigurationChanges.declareAddress(parser);
    parser
        .addArgument("--from")
        .type(Long.class)
        .metavar("REV")
        .help("print the changes since revision REV");
    parser
        .addArgument("revision")
        .nargs("?")
        .type(Long.class)
        .metavar("REV")
        .help("revision to print; the revision in force if missing");
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    OperatorClient client = OperatorClient.create(AddressArguments.parse(arguments, "operators"));
    ConfigurationView view = fetch(client, arguments.getLong("revision"));
    Long from = arguments.getLong("from");
    if (from == null) {
      out.printf("# revision %s%n%s", view.revision(), view.text());
    } else {
      printChanges(fetch(client, from), view, out);
    }
    return ExitCodes.OK;
  }

  private static ConfigurationView fetch(OperatorClient client, @Nullable Long revision)
      throws CassiaException {
    ConfigurationView view = client.show(revision == null ? null : new Revision(revision)).block();
    if (view == null) {
      throw CassiaException.of(Refusals.malformed("the entry returned no answer"));
    }
    return view;
  }

  private static void printChanges(
      ConfigurationView before, ConfigurationView after, PrintStream out) {
    Set<String> oldValues = new TreeSet<>(ConfigurationText.values(before.text()));
    Set<String> newValues = new TreeSet<>(ConfigurationText.values(after.text()));
    out.printf("# changes from revision %s to %s%n", before.revision(), after.revision());
    oldValues.stream().filter(v -> !newValues.contains(v)).forEach(v -> out.println("- " + v));
    newValues.stream().filter(v -> !oldValues.contains(v)).forEach(v -> out.println("+ " + v));
  }
}
