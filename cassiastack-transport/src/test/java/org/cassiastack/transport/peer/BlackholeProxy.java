package org.cassiastack.transport.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * TCP proxy that can drop all traffic of its open connections without closing them, while new
 * connections work.
 */
final class BlackholeProxy implements AutoCloseable {
  private final ServerSocket server;
  private final InetSocketAddress target;
  private final List<Pipe> pipes = new CopyOnWriteArrayList<>();

  BlackholeProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startDaemon(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  /** Drops all further traffic of the currently open connections, without closing them. */
  void blackholeOpenConnections() {
    pipes.forEach(p -> p.dropsTraffic = true);
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Pipe p : pipes) {
      p.from.close();
      p.to.close();
    }
  }

  private void accept() {
    try {
      while (!server.isClosed()) {
        Socket from = server.accept();
        Socket to = new Socket(target.getAddress(), target.getPort());
        pipe(from, to);
        pipe(to, from);
      }
    } catch (IOException ignored) {
      // The proxy was closed.
    }
  }

  private void pipe(Socket from, Socket to) {
    Pipe p = new Pipe(from, to);
    pipes.add(p);
    startDaemon(p::copy);
  }

  private static void startDaemon(Runnable task) {
    Thread t = new Thread(task, "proxy");
    t.setDaemon(true);
    t.start();
  }

  private static final class Pipe {
    private final Socket from;
    private final Socket to;
    private volatile boolean dropsTraffic;

    Pipe(Socket from, Socket to) {
      this.from = from;
      this.to = to;
    }

    void copy() {
      byte[] buffer = new byte[8_192];
      try {
        for (int n = from.getInputStream().read(buffer);
            n >= 0;
            n = from.getInputStream().read(buffer)) {
          if (!dropsTraffic) {
            to.getOutputStream().write(buffer, 0, n);
          }
        }
        close();
      } catch (IOException ignored) {
        close();
      }
    }

    private void close() {
      // A connection whose traffic is dropped stays open, so that neither end is notified.
      if (dropsTraffic) {
        return;
      }
      try {
        from.close();
        to.close();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
