package org.cassiastack.daemon.command;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.SortedMap;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.configuration.ChangeId;
import org.cassiastack.daemon.settings.ConfigurationFiles;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Revision;
import org.cassiastack.transport.http.ChangeRequest;
import org.cassiastack.transport.http.OperatorClient;
import org.jspecify.annotations.Nullable;

/** Applies the declarative files in a folder as one new configuration. */
public final class ApplyCommand implements Command {
  @Override
  public String name() {
    return "apply";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("apply the declarative files in a folder as one new configuration");
    ConfigurationChanges.declareAddress(parser);
    parser
        .addArgument("--change-id")
        .metavar("UUID")
        .help("id of the change, reused when the change is sent again; a new id if missing");
    parser
        .addArgument("--base")
        .type(Long.class)
        .metavar("REV")
        .help("revision on which the files are based; the revision in force if missing");
    parser.addArgument("folder").metavar("DIR").help("folder that contains .ini files");
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    SortedMap<String, String> files =
        ConfigurationFiles.readFolder(Path.of(arguments.getString("folder")));
    ConfigurationFiles.parse(files, Revision.NONE);
    ChangeId changeId = ConfigurationChanges.parseChangeId(arguments.getString("change_id"));
    OperatorClient client = OperatorClient.create(AddressArguments.parse(arguments, "operators"));
    Revision base = base(arguments.getLong("base"), client);
    return ConfigurationChanges.send(client, new ChangeRequest(changeId, base, files), out);
  }

  private static Revision base(@Nullable Long baseRevision, OperatorClient client)
      throws CassiaException {
    return baseRevision == null
        ? ConfigurationChanges.fetchInForce(client).revision()
        : new Revision(baseRevision);
  }
}
