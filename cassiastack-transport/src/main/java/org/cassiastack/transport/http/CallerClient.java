package org.cassiastack.transport.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobKey;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/**
 * Client of the HTTP API for callers.
 *
 * <pre>{@code
 * CallerClient client = CallerClient.create(entryAddress);
 * JobAnswer answer = client.submit(job).block();
 * }</pre>
 *
 * @since 0.1
 */
public final class CallerClient {
  private static final int MAX_CONNECTIONS = 10_000;

  private final HttpClient client;

  private CallerClient(HttpClient client) {
    this.client = client;
  }

  /** Creates a client of the entry with the given address. */
  public static CallerClient create(InetSocketAddress entry) {
    ConnectionProvider provider = ConnectionProvider.create("caller", MAX_CONNECTIONS);
    String base = "http://" + entry.getHostString() + ":" + entry.getPort();
    return new CallerClient(HttpClient.create(provider).baseUrl(base).disableRetry(true));
  }

  /**
   * Submits a job.
   *
   * @return the answer to the job. The {@code Mono} fails with a {@link CassiaException} if the
   *     entry refused the request without accepting it as a job
   */
  public Mono<JobAnswer> submit(Job job) {
    return client
        .headers(h -> addHeaders(h, job.customer(), job.key()))
        .post()
        .uri("/v1/jobs")
        .send(ByteBufFlux.fromString(Mono.just(JobJson.writeJob(job))))
        .responseSingle((response, body) -> body.asByteArray())
        .flatMap(CallerClient::decodeAnswer);
  }

  /** Cancels a job and returns the answer to the job. */
  public Mono<JobAnswer> cancel(Customer customer, JobKey key) {
    return client
        .headers(h -> addHeaders(h, customer, key))
        .request(HttpMethod.DELETE)
        .uri("/v1/jobs/" + key)
        .responseSingle((response, body) -> body.asByteArray())
        .flatMap(CallerClient::decodeAnswer);
  }

  /** Returns the state of a job as JSON. */
  public Mono<String> state(Customer customer, JobKey key) {
    return client
        .headers(h -> addHeaders(h, customer, key))
        .get()
        .uri("/v1/jobs/" + key)
        .responseSingle((response, body) -> body.asString());
  }

  private static void addHeaders(HttpHeaders headers, Customer customer, JobKey key) {
    headers.set(CallerApi.CUSTOMER_HEADER, customer.name());
    headers.set(CallerApi.KEY_HEADER, key.toString());
  }

  private static Mono<JobAnswer> decodeAnswer(byte[] body) {
    try {
      return Mono.just(JobJson.readAnswer(body));
    } catch (CassiaException e) {
      return Mono.error(e);
    }
  }
}
