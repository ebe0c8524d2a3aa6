package org.cassiastack.bench.minion;

import java.net.InetAddress;
import java.net.InetSocketAddress;

/**
 * Addresses of this machine alone.
 *
 * @since 0.1
 */
public final class Loopback {
  private Loopback() {}

  /** Returns a loopback address; port 0 stands for any free one. */
  public static InetSocketAddress address(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }
}
