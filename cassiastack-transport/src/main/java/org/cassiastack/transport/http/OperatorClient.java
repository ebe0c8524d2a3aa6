package org.cassiastack.transport.http;

import java.net.InetSocketAddress;
import org.cassiastack.configuration.ApplyResult;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Revision;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;

/**
 * Client of the HTTP API for operators.
 *
 * <pre>{@code
 * OperatorClient client = OperatorClient.create(operatorsAddress);
 * ApplyResult result = client.apply(request).block();
 * }</pre>
 *
 * @since 0.1
 */
public final class OperatorClient {
  private static final String PATH = "/v1/configuration";

  private final HttpClient client;

  private OperatorClient(HttpClient client) {
    this.client = client;
  }

  /** Creates a client of the entry whose operators' API has the given address. */
  public static OperatorClient create(InetSocketAddress operators) {
    String base = "http://" + operators.getHostString() + ":" + operators.getPort();
    return new OperatorClient(HttpClient.create().baseUrl(base).disableRetry(true));
  }

  /**
   * Applies a set of files.
   *
   * @return the outcome of the change. The {@code Mono} fails with a {@link CassiaException} if the
   *     entry refused the request before a decision on the change
   */
  public Mono<ApplyResult> apply(ChangeRequest request) {
    return client
        .post()
        .uri(PATH)
        .send(ByteBufFlux.fromString(Mono.just(ConfigurationJson.writeChange(request))))
        .responseSingle((response, body) -> body.asByteArray())
        .flatMap(body -> decodeBody(() -> ConfigurationJson.readResult(body)));
  }

  /** Returns the content of a revision; null selects the revision in force. */
  public Mono<ConfigurationView> show(@Nullable Revision revision) {
    return client
        .get()
        .uri(revision == null ? PATH : PATH + "/" + revision)
        .responseSingle((response, body) -> body.asByteArray())
        .flatMap(body -> decodeBody(() -> ConfigurationJson.readView(body)));
  }

  private static <T> Mono<T> decodeBody(Decoder<T> decoder) {
    try {
      return Mono.just(decoder.decode());
    } catch (CassiaException e) {
      return Mono.error(e);
    }
  }

  @FunctionalInterface
  private interface Decoder<T> {
    T decode() throws CassiaException;
  }
}
