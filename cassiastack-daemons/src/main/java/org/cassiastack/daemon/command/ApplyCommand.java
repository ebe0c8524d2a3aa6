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

/** Applies a folder of declarative files as a whole. */
public final class ApplyCommand implements Command {
  @Override
  public String name() {
    return "apply";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("apply a folder of declarative files as a whole");
    ConfigurationChanges.declareAddress(parser);
    parser.addArgument("--change-id").metavar("UUID").help("the same when a change is sent again");
    parser
        .addArgument("--base")
        .type(Long.class)
        .metavar("REV")
        .help("the revision that the files were made from; the one in force if missing");
    parser.addArgument("folder").metavar("DIR").help("folder with .ini files");
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    SortedMap<String, String> files =
        ConfigurationFiles.readFolder(Path.of(arguments.getString("folder")));
    ConfigurationFiles.parse(files, Revision.NONE);
    ChangeId change = ConfigurationChanges.parseChangeId(arguments.getString("change_id"));
    OperatorClient client = OperatorClient.create(AddressArguments.parse(arguments, "operators"));
    Revision base = base(arguments.getLong("base"), client);
    return ConfigurationChanges.send(client, new ChangeRequest(change, base, files), out);
  }

  private static Revision base(@Nullable Long given, OperatorClient client) throws CassiaException {
    return given == null
        ? ConfigurationChanges.fetchInForce(client).revision()
        : new Revision(given);
  }
}
