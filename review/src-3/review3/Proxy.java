package review3;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Passes connections on to another address; while it is cut, no byte passes in either direction. */
final class Proxy implements AutoCloseable {
  private final ServerSocket server = new ServerSocket();
  private final InetSocketAddress target;
  private volatile boolean cut;

  Proxy(String ip, int port, int targetPort) throws IOException {
    target = new InetSocketAddress(InetAddress.getByName(ip), targetPort);
    server.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
    Rig.daemon(this::accept).start();
  }

  void cut(boolean on) {
    cut = on;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket from = server.accept();
        Rig.daemon(() -> connect(from)).start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void connect(Socket from) {
    awaitOpen();
    try {
      Socket to = new Socket();
      to.connect(target, 1_000);
      from.setTcpNoDelay(true);
      to.setTcpNoDelay(true);
      Rig.daemon(() -> copy(from, to)).start();
      copy(to, from);
    } catch (IOException e) {
      close(from);
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[65_536];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
        awaitOpen();
        out.write(buffer, 0, n);
      }
    } catch (IOException e) {
      // The connection has ended.
    }
    awaitOpen();
    close(from);
    close(to);
  }

  private void awaitOpen() {
    while (cut && !server.isClosed()) {
      Rig.sleep(5);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  @Override
  public void close() {
    try {
      server.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }
}
