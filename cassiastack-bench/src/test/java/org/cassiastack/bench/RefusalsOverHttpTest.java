package org.cassiastack.bench;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Collections;
import java.util.concurrent.TimeUnit;
import org.cassiastack.bench.local.LocalSystem;
import org.cassiastack.bench.local.LocalSystemSpec;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.ResultCode;
import org.cassiastack.transport.http.CallerApi;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Checks the result codes of malformed and oversized requests on the HTTP API for callers. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class RefusalsOverHttpTest {
  private static final String ONE_TASK = "{\"service\": \"ice\", \"tasks\": [\"run_ms=1\"]}";
  private static final HttpClient HTTP = HttpClient.newHttpClient();
  private static LocalSystem system;
  private static long issuedKeys;

  @BeforeAll
  static void start() throws Exception {
    system = LocalSystem.start(LocalSystemSpec.small(1, 2));
    system.awaitMinions();
  }

  @AfterAll
  static void stop() {
    system.close();
  }

  @Test
  void a_body_that_is_not_json_is_malformed() throws Exception {
    assertThat(submit("{\"service\": ", newKey())).isEqualTo(ResultCode.MALFORMED.number());
  }

  @Test
  void a_missing_key_is_invalid() throws Exception {
    assertThat(submit(ONE_TASK, "")).isEqualTo(ResultCode.INVALID_KEY.number());
  }

  @Test
  void a_key_of_another_uuid_version_is_invalid() throws Exception {
    String versionFourKey = "9c5b94b1-35ad-49bb-b118-8e8fc24abf80";

    assertThat(submit(ONE_TASK, versionFourKey)).isEqualTo(ResultCode.INVALID_KEY.number());
  }

  @Test
  void a_service_that_is_not_declared_is_unknown() throws Exception {
    String body = "{\"service\": \"snow\", \"tasks\": [\"a\"]}";

    assertThat(submit(body, newKey())).isEqualTo(ResultCode.UNKNOWN_SERVICE.number());
  }

  @Test
  void a_job_without_tasks_is_refused() throws Exception {
    assertThat(submit(jobWithTasks(0), newKey())).isEqualTo(ResultCode.INVALID_TASK_COUNT.number());
  }

  @Test
  void a_job_with_one_task_more_than_allowed_is_refused() throws Exception {
    assertThat(submit(jobWithTasks(1_101), newKey()))
        .isEqualTo(ResultCode.INVALID_TASK_COUNT.number());
  }

  @Test
  void a_body_over_the_limit_is_too_large() throws Exception {
    String body = "x".repeat(CallerApi.MAX_BODY_BYTES + 1);

    assertThat(submit(body, newKey())).isEqualTo(ResultCode.TOO_LARGE.number());
  }

  @Test
  void garbage_on_a_peer_connection_closes_this_connection_and_affects_no_job() throws Exception {
    InetSocketAddress peerAddress = system.peerAddresses().get(0);
    try (Socket socket = new Socket(peerAddress.getAddress(), peerAddress.getPort())) {
      socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      socket.getOutputStream().flush();

      readUntilClosed(socket);
    }

    assertThat(submit(ONE_TASK, newKey())).isEqualTo(ResultCode.COMPLETE.number());
  }

  private static void readUntilClosed(Socket socket) throws IOException {
    byte[] buffer = new byte[1_024];
    int count = 0;
    while (count >= 0) {
      count = socket.getInputStream().read(buffer);
    }
  }

  private static int submit(String body, String key) throws Exception {
    InetSocketAddress callerAddress = system.callerAddresses().get(0);
    URI uri =
        URI.create(
            "http://" + callerAddress.getHostString() + ":" + callerAddress.getPort() + "/v1/jobs");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header(CallerApi.CUSTOMER_HEADER, "ayaz")
            .header(CallerApi.KEY_HEADER, key)
            .POST(BodyPublishers.ofString(body))
            .build();
    String answer = HTTP.send(request, BodyHandlers.ofString()).body();
    return new ObjectMapper().readTree(answer).path("code").asInt();
  }

  private static String jobWithTasks(int count) {
    String taskList = String.join(",", Collections.nCopies(count, "\"a\""));
    return "{\"service\": \"ice\", \"tasks\": [" + taskList + "]}";
  }

  private static String newKey() {
    issuedKeys++;
    return JobKey.of(Instant.now(), issuedKeys, issuedKeys).toString();
  }
}
