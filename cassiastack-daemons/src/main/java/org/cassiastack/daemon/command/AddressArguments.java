package org.cassiastack.daemon.command;

import java.net.InetSocketAddress;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;

/** Declares and parses command line arguments whose value is an address. */
final class AddressArguments {
  private AddressArguments() {}

  static void declare(Subparser parser, String name, String defaultValue, String help) {
    parser.addArgument("--" + name).setDefault(defaultValue).metavar("HOST:PORT").help(help);
  }

  static InetSocketAddress parse(Namespace arguments, String name) throws CassiaException {
    String text = arguments.getString(name);
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return new InetSocketAddress(text.substring(0, Math.max(colon, 0)), port);
    } catch (IllegalArgumentException e) {
      throw CassiaException.of(
          Refusals.malformed("--" + name + " is '" + text + "'; expected HOST:PORT"));
    }
  }
}
