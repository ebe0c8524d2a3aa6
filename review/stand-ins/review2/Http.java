package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Sends one HTTP/1.1 request over a connection of its own. */
final class Http {
  private Http() {}

  /** Status and body of an answer; status 0 means that no complete answer came. */
  record Answer(int status, String body) {
    @Override
    public String toString() {
      return status == 0 ? "no answer (" + body + ")" : status + " " + body;
    }
  }

  static Answer call(
      InetSocketAddress to,
      String method,
      String path,
      String host,
      String headers,
      String body,
      int timeoutMillis) {
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    String head =
        method
            + " "
            + path
            + " HTTP/1.1\r\nHost: "
            + host
            + "\r\nConnection: close\r\n"
            + headers
            + (content.length > 0 ? "Content-Type: application/json\r\n" : "")
            + "Content-Length: "
            + content.length
            + "\r\n\r\n";
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(to, timeoutMillis);
      socket.setSoTimeout(timeoutMillis);
      ByteArrayOutputStream request = new ByteArrayOutputStream();
      request.write(head.getBytes(StandardCharsets.ISO_8859_1));
      request.write(content);
      socket.getOutputStream().write(request.toByteArray());
      return read(socket.getInputStream());
    } catch (IOException e) {
      return new Answer(0, e.getClass().getSimpleName());
    }
  }

  private static Answer read(InputStream in) throws IOException {
    int status = Integer.parseInt(line(in).split(" ")[1]);
    int length = 0;
    for (String header = line(in); !header.isEmpty(); header = line(in)) {
      String lower = header.toLowerCase(Locale.ROOT);
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(lower.substring("content-length:".length()).trim());
      }
    }
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException();
    }
    return new Answer(status, new String(body, StandardCharsets.UTF_8));
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException();
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }
}
