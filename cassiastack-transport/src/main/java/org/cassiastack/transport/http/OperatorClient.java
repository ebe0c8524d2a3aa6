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
 * Client of the operators' API.
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

  /** Makes a client of one entry. */
  public static OperatorClient create(InetSocketAddress operators) {
    String base = "http://" + operators.getHostString() + ":" + operators.getPort();
    return new OperatorClient(HttpClient.create().baseUrl(base).disableRetry(true));
  }

  /**
   * Applies a set of files.
   *
   * @return what became of the change, or a {@link CassiaException} when it never came to that
   */
  public Mono<ApplyResult> apply(ChangeRequest request) {
    return client
        .post()
        .uri(PATH)
        .send(ByteBufFlux.fromString(Mono.just(ConfigurationJson.writeChange(request))))
        .responseSingle((response, body) -> body.asByteArray())
        .flatMap(body -> decoded(() -> ConfigurationJson.readResult(body)));
  }

  /** Shows a revision, or the one in force for null. */
  public Mono<ConfigurationView> show(@Nullable Revision revision) {
    return client
        .get()
        .uri(revision == null ? PATH : PATH + "/" + revision)
        .responseSingle((response, body) -> body.asByteArray())
        .flatMap(body -> decoded(() -> ConfigurationJson.readShown(body)));
  }

  private static <T> Mono<T> decoded(Decoder<T> decoder) {
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
