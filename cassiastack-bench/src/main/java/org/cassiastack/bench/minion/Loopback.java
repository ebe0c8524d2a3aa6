package org.cassiastack.bench.minion;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * Loopback addresses, which only processes on this machine can reach.
 *
 * @since 0.1
 */
public final class Loopback {
  private Loopback() {}

  /** Returns the loopback address with a port; port 0 stands for any free port. */
  public static InetSocketAddress address(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }
}
