package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** One HTTP call, as clients, operators, minions and the platform's balancer make it. */
final class Http {
  static final ObjectMapper JSON = new ObjectMapper();

  private static final HttpClient CLIENT =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  private Http() {}

  /**
   * Makes a call.
   *
   * @param host value of the Host header, or null for the address of the URI
   * @param body JSON text, or null for none
   * @return the answer; its status is 0 when there was none
   */
  static Answer send(String method, String uri, String host, String body, int timeoutMillis) {
    HttpRequest.Builder b =
        HttpRequest.newBuilder(URI.create(uri)).timeout(Duration.ofMillis(timeoutMillis));
    if (host != null) {
      b.header("Host", host);
      b.header("Cassiastack-Deadline-Ms", Integer.toString(timeoutMillis));
    }
    if (body == null) {
      b.method(method, HttpRequest.BodyPublishers.noBody());
    } else {
      b.header("Content-Type", "application/json");
      b.method(method, HttpRequest.BodyPublishers.ofString(body));
    }
    try {
      HttpResponse<String> r = CLIENT.send(b.build(), HttpResponse.BodyHandlers.ofString());
      return new Answer(r.statusCode(), r.body());
    } catch (IOException e) {
      return new Answer(0, "");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, "");
    }
  }

  /** An answer to a call. */
  static final class Answer {
    private final int status;
    private final String body;

    Answer(int status, String body) {
      this.status = status;
      this.body = body;
    }

    int status() {
      return status;
    }

    String body() {
      return body;
    }

    boolean isSuccess() {
      return status / 100 == 2;
    }

    String field(String name) {
      try {
        JsonNode json = JSON.readTree(body);
        return json == null ? "" : json.path(name).asText();
      } catch (IOException e) {
        return "";
      }
    }
  }
}
