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
 * The callers' API over HTTP.
 *
 * <ol>
 *   <li>{@code POST /v1/jobs} submits a job and waits for its whole answer.
 *   <li>{@code GET /v1/jobs/KEY} tells the state of a job.
 *   <li>{@code DELETE /v1/jobs/KEY} cancels a job and waits for its answer.
 * </ol>
 *
 * <p>Each request names its customer in {@code Cassia-Customer}; a submission names its key in
 * {@code Idempotency-Key}. Every answer is JSON with a numbered result code.
 *
 * @since 0.1
 */
public final class CallerApi {
  /** Header that carries the job's key. */
  public static final String KEY_HEADER = "Idempotency-Key";

  /** Header that names whom the caller acts for. */
  public static final String CUSTOMER_HEADER = "Cassia-Customer";

  /** Largest body in bytes. */
  public static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(60);

  private final FilterChain<Request, JobAnswer> chain;
  private final JobOperations desk;
  private final TimeSource time;

  private CallerApi(FilterChain<Request, JobAnswer> chain, JobOperations desk, TimeSource time) {
    this.chain = chain;
    this.desk = desk;
    this.time = time;
  }

  /**
   * Starts to serve.
   *
   * @param address where to listen; port 0 takes any free one
   * @param chain what submissions pass
   * @param desk answers questions about jobs and cancels them
   * @param time tells the time at which a request arrived
   */
  public static DisposableServer serve(
      InetSocketAddress address,
      FilterChain<Request, JobAnswer> chain,
      JobOperations desk,
      TimeSource time) {
    CallerApi api = new CallerApi(chain, desk, time);
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
                body -> deferred(() -> chain.proceed(Request.of(job(request, body)), time.now())));
    return HttpReply.respond(request, response, answer.map(CallerApi::reply));
  }

  private Publisher<Void> state(HttpServerRequest request, HttpServerResponse response) {
    Mono<JobState> state = deferred(() -> desk.state(customer(request), pathKey(request)));
    return HttpReply.respond(request, response, state.map(CallerApi::reply));
  }

  private Publisher<Void> cancel(HttpServerRequest request, HttpServerResponse response) {
    Mono<JobAnswer> answer = deferred(() -> desk.cancel(customer(request), pathKey(request)));
    return HttpReply.respond(request, response, answer.map(CallerApi::reply));
  }

  /** Turns a refusal that is thrown while a request is read into one that is answered. */
  private static <T> Mono<T> deferred(Callable<Mono<T>> work) {
    return Mono.fromCallable(work).flatMap(answer -> answer);
  }

  private static Job job(HttpServerRequest request, byte[] body) throws CassiaException {
    String key = request.requestHeaders().get(KEY_HEADER);
    JobKey parsed = JobKey.parse(key == null ? "" : key);
    return JobJson.readJob(parsed, customer(request), DEFAULT_TIMEOUT, body);
  }

  private static Customer customer(HttpServerRequest request) throws CassiaException {
    String name = request.requestHeaders().get(CUSTOMER_HEADER);
    if (name == null || name.isEmpty()) {
      throw CassiaException.of(Refusals.malformed("header " + CUSTOMER_HEADER + " is missing"));
    }
    return new Customer(name);
  }

  private static JobKey pathKey(HttpServerRequest request) throws CassiaException {
    String key = request.param("key");
    return JobKey.parse(key == null ? "" : key);
  }

  private static HttpReply reply(JobAnswer answer) {
    return HttpReply.of(answer.code(), JobJson.writeAnswer(answer));
  }

  private static HttpReply reply(JobState state) {
    JobAnswer answer = state.answer();
    boolean unknown = answer != null && answer.code() == ResultCode.UNKNOWN_JOB;
    ResultCode code = unknown ? ResultCode.UNKNOWN_JOB : ResultCode.COMPLETE;
    return HttpReply.of(code, JobJson.writeState(state));
  }
}
