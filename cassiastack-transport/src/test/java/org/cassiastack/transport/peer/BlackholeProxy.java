package org.cassiastack.transport.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stands between two ends and can lose track of its open connections while new ones work. */
final class BlackholeProxy implements AutoCloseable {
  private final ServerSocket server;
  private final InetSocketAddress target;
  private final List<Pipe> pipes = new CopyOnWriteArrayList<>();

  BlackholeProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
  }

  /** Passes nothing on over the connections that are open now, and closes none of them. */
  void blackholeOpenConnections() {
    pipes.forEach(p -> p.forgotten = true);
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
    daemon(p::copy);
  }

  private static void daemon(Runnable work) {
    Thread t = new Thread(work, "proxy");
    t.setDaemon(true);
    t.start();
  }

  private static final class Pipe {
    private final Socket from;
    private final Socket to;
    private volatile boolean forgotten;

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
          if (!forgotten) {
            to.getOutputStream().write(buffer, 0, n);
          }
        }
        close();
      } catch (IOException ignored) {
        close();
      }
    }

    private void close() {
      // A forgotten connection stays open: neither end is told.
      if (forgotten) {
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
