package review2;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A TCP proxy that can be cut: from then on no byte passes in either direction, without a reset. It
 * accepts connections all the while, which then stay silent.
 */
final class Proxy implements AutoCloseable {
  private final ServerSocket server;
  private final InetSocketAddress target;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private volatile boolean cut;

  private Proxy(ServerSocket server, InetSocketAddress target) {
    this.server = server;
    this.target = target;
  }

  static Proxy start(InetSocketAddress at, InetSocketAddress target) throws IOException {
    ServerSocket server = new ServerSocket();
    server.bind(at);
    Proxy proxy = new Proxy(server, target);
    thread(proxy::accept);
    return proxy;
  }

  /** Stops or resumes passing bytes. Connections of before the cut are closed when it ends. */
  void setCut(boolean isCut) {
    cut = isCut;
    if (!isCut) {
      closeSockets();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket client = server.accept();
        sockets.add(client);
        thread(() -> open(client));
      }
    } catch (IOException e) {
      closeSockets();
    }
  }

  private void open(Socket client) {
    if (cut) {
      return;
    }
    try {
      Socket upstream = new Socket();
      sockets.add(upstream);
      upstream.connect(target, 1_000);
      client.setTcpNoDelay(true);
      upstream.setTcpNoDelay(true);
      thread(() -> pump(client, upstream));
      thread(() -> pump(upstream, client));
    } catch (IOException e) {
      close(client);
    }
  }

  private void pump(Socket from, Socket to) {
    byte[] buffer = new byte[65_536];
    try {
      while (true) {
        int count = from.getInputStream().read(buffer);
        if (cut) {
          // The end of a connection does not pass a cut either.
          continueSilently(from, count);
          return;
        }
        if (count < 0) {
          break;
        }
        to.getOutputStream().write(buffer, 0, count);
      }
    } catch (IOException e) {
      if (cut) {
        return;
      }
    }
    close(from);
    close(to);
  }

  private static void continueSilently(Socket from, int count) throws IOException {
    byte[] buffer = new byte[65_536];
    int last = count;
    while (last >= 0) {
      last = from.getInputStream().read(buffer);
    }
  }

  private void closeSockets() {
    sockets.forEach(Proxy::close);
    sockets.clear();
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is closed all the same.
    }
  }

  private static void thread(Runnable work) {
    Thread thread = new Thread(work, "proxy");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      // The listener is closed all the same.
    }
    closeSockets();
  }
}
