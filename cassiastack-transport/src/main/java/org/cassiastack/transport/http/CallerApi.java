package org.cassiastack.transport.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.cassiastack.controller.TimeSource;
import org.cassiastack.filter.FilterChain;
import org.cassiastack.filter.Request;
import org.cassiastack.job.JobState;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Refusals;
import org.cassiastack.model.ResultCode;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * HTTP API for callers.
 *
 * <ol>
 *   <li>{@code POST /v1/jobs} submits a job and waits for the complete answer.
 *   <li>{@code GET /v1/jobs/KEY} returns the state of a job.
 *   <li>{@code DELETE /v1/jobs/KEY} cancels a job and waits for the answer to the job.
 * </ol>
 *
 * <p>Each request contains its customer in the header {@code Cassia-Customer}. A submission
 * contains the key of its job in the header {@code Idempotency-Key}. Every response is JSON; the
 * answer to a job and every refusal contain a numbered result code.
 *
 * @since 0.1
 */
public final class CallerApi {
  /** Name of the header that contains the key of the job. */
  public static final String KEY_HEADER = "Idempotency-Key";

  /** Name of the header that contains the customer for whom the caller acts. */
  public static final String CUSTOMER_HEADER = "Cassia-Customer";

  /** Maximum size of a request body in bytes. */
  public static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(60);

  private final FilterChain<Request, JobAnswer> chain;
  private final JobOperations jobs;
  private final TimeSource time;

  private CallerApi(FilterChain<Request, JobAnswer> chain, JobOperations jobs, TimeSource time) {
    this.chain = chain;
    this.jobs = jobs;
    this.time = time;
  }

  /**
   * Starts the HTTP server.
   *
   * @param address address to listen on; port 0 selects a free port
   * @param chain filter chain that handles submitted jobs
   * @param jobs returns the states of jobs and cancels jobs
   * @param time provides the arrival times of requests
   * @return the running server
   */
  public static DisposableServer serve(
      InetSocketAddress address,
      FilterChain<Request, JobAnswer> chain,
      JobOperations jobs,
      TimeSource time) {
    CallerApi api = new CallerApi(chain, jobs, time);
    return HttpServer.create()
        .bindAddress(() -> address)
        .route(
            r ->
                r.post("/v1/jobs", api::submit)
                    .get("/v1/jobs/{key}", api::state)
                    .delete("/v1/jobs/{key}", api::cancel))
        .bindNow();
  }

  private Publisher<Void> submit(HttpServerRequest request, HttpServerResponse response) {
    Mono<JobAnswer> answer =
        RequestBodies.read(request, MAX_BODY_BYTES)
            .flatMap(
                body ->
                    defer(() -> chain.proceed(Request.of(parseJob(request, body)), time.now())));
    return HttpReply.respond(request, response, answer.map(CallerApi::toReply));
  }

  private Publisher<Void> state(HttpServerRequest request, HttpServerResponse response) {
    Mono<JobState> state = defer(() -> jobs.state(customerOf(request), pathKeyOf(request)));
    return HttpReply.respond(request, response, state.map(CallerApi::toReply));
  }

  private Publisher<Void> cancel(HttpServerRequest request, HttpServerResponse response) {
    Mono<JobAnswer> answer = defer(() -> jobs.cancel(customerOf(request), pathKeyOf(request)));
    return HttpReply.respond(request, response, answer.map(CallerApi::toReply));
  }

  /**
   * Calls a function that reads a request. An exception that the function throws becomes the error
   * of the returned {@code Mono} and is answered like any other refusal.
   */
  private static <T> Mono<T> defer(Callable<Mono<T>> callable) {
    return Mono.fromCallable(callable).flatMap(answer -> answer);
  }

  private static Job parseJob(HttpServerRequest request, byte[] body) throws CassiaException {
    String key = request.requestHeaders().get(KEY_HEADER);
    JobKey parsed = JobKey.parse(key == null ? "" : key);
    return JobJson.readJob(parsed, customerOf(request), DEFAULT_TIMEOUT, body);
  }

  private static Customer customerOf(HttpServerRequest request) throws CassiaException {
    String name = request.requestHeaders().get(CUSTOMER_HEADER);
    if (name == null || name.isEmpty()) {
      throw CassiaException.of(Refusals.malformed("header " + CUSTOMER_HEADER + " is missing"));
    }
    return new Customer(name);
  }

  private static JobKey pathKeyOf(HttpServerRequest request) throws CassiaException {
    String key = request.param("key");
    return JobKey.parse(key == null ? "" : key);
  }

  private static HttpReply toReply(JobAnswer answer) {
    return HttpReply.of(answer.code(), JobJson.writeAnswer(answer));
  }

  private static HttpReply toReply(JobState state) {
    JobAnswer answer = state.answer();
    boolean unknown = answer != null && answer.code() == ResultCode.UNKNOWN_JOB;
    ResultCode code = unknown ? ResultCode.UNKNOWN_JOB : ResultCode.COMPLETE;
    return HttpReply.of(code, JobJson.writeState(state));
  }
}
