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

/** Prints a revision, or what differs between two. */
public final class ShowCommand implements Command {
  @Override
  public String name() {
    return "show";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("print a revision of the configuration, or what differs between two");
    ConfigurationChanges.declareAddress(parser);
    parser.addArgument("--from").type(Long.class).metavar("REV").help("print changes since REV");
    parser
        .addArgument("revision")
        .nargs("?")
        .type(Long.class)
        .metavar("REV")
        .help("the revision; the one in force if missing");
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    OperatorClient client = OperatorClient.create(AddressArguments.parse(arguments, "operators"));
    ConfigurationView shown = ask(client, arguments.getLong("revision"));
    Long from = arguments.getLong("from");
    if (from == null) {
      out.printf("# revision %s%n%s", shown.revision(), shown.text());
    } else {
      printChanges(ask(client, from), shown, out);
    }
    return ExitCodes.OK;
  }

  private static ConfigurationView ask(OperatorClient client, @Nullable Long revision)
      throws CassiaException {
    ConfigurationView shown = client.show(revision == null ? null : new Revision(revision)).block();
    if (shown == null) {
      throw CassiaException.of(Refusals.malformed("the entry gave no answer"));
    }
    return shown;
  }

  private static void printChanges(
      ConfigurationView before, ConfigurationView after, PrintStream out) {
    Set<String> old = new TreeSet<>(ConfigurationText.values(before.text()));
    Set<String> now = new TreeSet<>(ConfigurationText.values(after.text()));
    out.printf("# changes from revision %s to %s%n", before.revision(), after.revision());
    old.stream().filter(v -> !now.contains(v)).forEach(v -> out.println("- " + v));
    now.stream().filter(v -> !old.contains(v)).forEach(v -> out.println("+ " + v));
  }
}
