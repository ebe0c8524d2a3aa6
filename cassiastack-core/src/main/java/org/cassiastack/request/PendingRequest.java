package org.cassiastack.request;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.cassiastack.model.NodeId;
import org.jspecify.annotations.Nullable;

/** A request that has not been answered, and what is known of the processes that it was sent to. */
final class PendingRequest {
  final LeaderRequest request;

  /** The order that the request is a step of; null for a request that is no such step. */
  final @Nullable DomainOrder order;

  final Instant receivedAt;
  final Instant deadline;

  /** How the request came, for the log; null if it is not known. */
  private final @Nullable RequestArrival arrival;

  Instant resendAt = Instant.MIN;
  boolean mayHaveEffect;
  private int sendCount;
  private Duration resendDelay = LeaderRequestController.RESEND_DELAY;

  /** When a fallback dispatcher has handed the request over; {@link Instant#MIN} if none has. */
  private Instant handedOverAt = Instant.MIN;

  /**
   * Leader that the request was last sent to, with its term in {@link #term}; null before the first
   * sending and after the connection to the leader was lost.
   */
  private @Nullable NodeId leader;

  private long term;

  /**
   * Number of leaders and fallback dispatchers that the request was sent to. The same leader counts
   * again in a later term and after the connection to it was lost.
   */
  private int dispatcherCount;

  /** The fallback dispatcher that has the request now, or null. */
  private @Nullable NodeId fallback;

  /** The dispatcher that the request was last sent to, for the log; null before the first. */
  private @Nullable NodeId lastDispatcher;

  /** When a probe was last answered with the job, by the clock of this process, or null. */
  private @Nullable Instant confirmedAt;

  /** Fallback dispatchers that have not taken the request. */
  private final Set<NodeId> refusingFallbacks = new HashSet<>();

  private PendingRequest(
      LeaderRequest request,
      @Nullable DomainOrder order,
      Instant receivedAt,
      Instant deadline,
      @Nullable RequestArrival arrival) {
    this.request = request;
    this.order = order;
    this.receivedAt = receivedAt;
    this.deadline = deadline;
    this.arrival = arrival;
  }

  static PendingRequest of(RequestPosted posted, Instant now) {
    return new PendingRequest(posted.request(), null, now, posted.deadline(), posted.arrival());
  }

  static PendingRequest stepOf(DomainOrder order, LeaderRequest request, Instant now) {
    return new PendingRequest(request, order, now, order.deadline(), null);
  }

  /** Returns whether the request was sent to a dispatcher last and is not answered. */
  boolean isAt(NodeId dispatcher) {
    return dispatcher.equals(fallback == null ? leader : fallback);
  }

  /**
   * Returns the subject of a decision about the request: the identity of a submitted job, the path
   * of a cancelled one, and the request id of any other request.
   */
  Object subject() {
    if (request instanceof SubmitJob s) {
      return s.job().id();
    }
    return request instanceof CancelJob c ? c.address().path() : request.requestId();
  }

  /** Returns the inputs of a decision about the request. */
  String describe() {
    String sends = "sends=" + sendCount + " since=" + receivedAt;
    return request instanceof SubmitJob ? sends + describeJob() : sends;
  }

  private String describeJob() {
    boolean wasHandedOver = !handedOverAt.equals(Instant.MIN);
    return " last="
        + (lastDispatcher == null ? "none" : lastDispatcher)
        + " handed_over="
        + (wasHandedOver ? handedOverAt : "no")
        + " confirmed="
        + (confirmedAt == null ? "never" : confirmedAt)
        + " request="
        + request.requestId()
        + (arrival == null ? "" : " " + arrival.describe());
  }

  /** Records that the job was named as awaited in answer to a probe. */
  void onConfirmed(Instant now) {
    confirmedAt = now;
  }

  int sendCount() {
    return sendCount;
  }

  @Nullable NodeId fallback() {
    return fallback;
  }

  Set<NodeId> refusingFallbacks() {
    return refusingFallbacks;
  }

  Instant handedOverAt() {
    return handedOverAt;
  }

  void onSent(NodeId receiver, long receiverTerm, Instant now) {
    if (!receiver.equals(leader) || receiverTerm != term) {
      leader = receiver;
      term = receiverTerm;
      dispatcherCount++;
      resendDelay = LeaderRequestController.RESEND_DELAY;
    }
    lastDispatcher = receiver;
    sendCount++;
    resendAt = now.plus(resendDelay);
    Duration doubledDelay = resendDelay.multipliedBy(2);
    Duration maxDelay = LeaderRequestController.MAX_RESEND_DELAY;
    resendDelay = doubledDelay.compareTo(maxDelay) < 0 ? doubledDelay : maxDelay;
    mayHaveEffect = true;
  }

  /** Handles the sending to a fallback dispatcher. It is not repeated: one connection is enough. */
  void onSentToFallback(NodeId receiver) {
    fallback = receiver;
    lastDispatcher = receiver;
    dispatcherCount++;
    sendCount++;
    resendAt = Instant.MAX;
    mayHaveEffect = true;
  }

  /**
   * Handles the loss of the connection to the leader. The leader may answer the request, and drop
   * its record of the answer, before it can be reached again, so it counts as another leader from
   * now on.
   */
  void onDisconnected() {
    leader = null;
  }

  /** Handles that the fallback dispatcher has given the request up to the leader. */
  void onHandedOver(Instant now) {
    fallback = null;
    handedOverAt = now;
    resendAt = Instant.MIN;
  }

  /** Returns whether the request has been sent to another dispatcher than the one it is at now. */
  boolean hasEarlierDispatcher() {
    return dispatcherCount > 1;
  }

  /** Returns the request as it is sent now: a submitted job states how long its caller waited. */
  LeaderRequest requestToSend(Instant now) {
    Duration waitTime = Duration.between(receivedAt, now);
    return request instanceof SubmitJob s && !waitTime.isZero()
        ? s.withAdditionalWait(waitTime)
        : request;
  }

  /**
   * Returns whether a refusal does not prove that the job has not run. An earlier leader or
   * fallback dispatcher that the job was sent to, or the same leader in an earlier term, may have
   * started the job.
   */
  boolean isRefusalUncertain(LeaderReply reply) {
    boolean sentInSeveralTerms = hasEarlierDispatcher() || (sendCount > 1 && reply.term() != term);
    return request instanceof SubmitJob
        && sentInSeveralTerms
        && reply.answer().code() != AnswerCode.ACCEPTED;
  }

  /**
   * Handles a refusal by a process that is not the leader. If the request was sent only once, the
   * refusal proves that the request had no effect.
   */
  void onNotLeader() {
    if (sendCount == 1) {
      mayHaveEffect = false;
      sendCount = 0;
      dispatcherCount = 0;
      leader = null;
    }
    NodeId refusing = fallback;
    if (refusing != null) {
      refusingFallbacks.add(refusing);
      fallback = null;
    }
    resendAt = Instant.MIN;
  }
}
