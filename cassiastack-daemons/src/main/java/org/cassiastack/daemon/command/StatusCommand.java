package org.cassiastack.daemon.command;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.model.CassiaException;
import reactor.netty.http.client.HttpClient;

/** Prints what an entry knows: the revision in force, failure domains and minions. */
public final class StatusCommand implements Command {
  @Override
  public String name() {
    return "status";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("print what an entry knows, as JSON");
    Addresses.declare(parser, "operators", "127.0.0.1:7001", "operators' address of an entry");
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    InetSocketAddress address = Addresses.of(arguments, "operators");
    String url = "http://" + address.getHostString() + ":" + address.getPort() + "/v1/status";
    out.println(
        HttpClient.create()
            .get()
            .uri(url)
            .responseSingle((response, body) -> body.asString())
            .block());
    return ExitCodes.OK;
  }
}
