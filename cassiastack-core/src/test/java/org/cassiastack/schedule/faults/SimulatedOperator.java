package org.cassiastack.schedule.faults;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Random;
import org.cassiastack.model.FailureDomain;
import org.cassiastack.request.AnswerCode;
import org.cassiastack.request.DomainRevision;
import org.cassiastack.request.RequestAnswer;
import org.jspecify.annotations.Nullable;

/**
 * Takes one failure domain out of service and returns it, with one order at a time. The operator
 * turns to another member after a second without an answer, and gives an order up after some
 * seconds. A copy that it sent to a member may lie there, or on the way, for much longer.
 */
final class SimulatedOperator {
  /** Bound on the acknowledgement of an order that the users' rules state. */
  static final int ACKNOWLEDGEMENT_MILLIS = 4_000;

  private static final int ANSWER_TIMEOUT_MILLIS = 1_000;

  /** Time for which nodes assume that an operator waits, which includes the way to the node. */
  private static final Duration ASSUMED_TIMEOUT = Duration.ofMillis(900);

  private static final int MAX_TRANSIT_MILLIS = 8_000;
  private static final int LOST_ANSWERS_PERCENT = 10;
  private static final int FIRST_BACKOFF_MILLIS = 50;
  private static final int MAX_BACKOFF_MILLIS = 400;

  private final QueueSimulation simulation;
  private final FailureDomain domain;
  private final Random random;
  private int delayedPercent;

  private boolean active;
  private boolean out;
  private boolean acknowledged;
  private long orderedAt;
  private long sentAt;
  private long nextSendAt;
  private int backoff;
  private boolean answerLost;
  private long requestId;
  private SimulatedNode member;

  SimulatedOperator(QueueSimulation simulation, FailureDomain domain, Random random) {
    this.simulation = simulation;
    this.domain = domain;
    this.random = random;
    this.member = simulation.members().get(0);
  }

  FailureDomain domain() {
    return domain;
  }

  /** Sets the percentage of orders that are under way for up to eight seconds. */
  void delayOrders(int percent) {
    delayedPercent = percent;
  }

  /** Returns whether an order is still being sent. */
  boolean isActive() {
    return active;
  }

  /** Returns whether the last order was acknowledged. */
  boolean isAcknowledged() {
    return acknowledged;
  }

  /** Returns whether the last order was to take the domain out of service. */
  boolean out() {
    return out;
  }

  long millisSinceOrder() {
    return simulation.millis() - orderedAt;
  }

  void begin(boolean takeOut) {
    out = takeOut;
    active = true;
    acknowledged = false;
    orderedAt = simulation.millis();
    backoff = FIRST_BACKOFF_MILLIS;
    sendToNextMember();
  }

  /** Handles what has happened since the last call. */
  void advance() {
    if (!active) {
      return;
    }
    long now = simulation.millis();
    RequestAnswer answer = answerLost ? null : simulation.answer(requestId);
    if (nextSendAt > 0) {
      if (now >= nextSendAt) {
        sendToNextMember();
      }
    } else if (answer != null && answer.code() == AnswerCode.ACCEPTED) {
      acknowledged = true;
      active = false;
    } else if (answer != null && answer.code() == AnswerCode.CONFIRMATION_NEEDED) {
      send(
          DomainRevision.parse(
              new String(answer.document().toByteArray(), StandardCharsets.US_ASCII)));
    } else if (answer != null || now - sentAt >= ANSWER_TIMEOUT_MILLIS) {
      active = now - orderedAt < ACKNOWLEDGEMENT_MILLIS;
      nextSendAt = now + backoff;
      backoff = Math.min(MAX_BACKOFF_MILLIS, 2 * backoff);
    }
  }

  private void sendToNextMember() {
    member = simulation.members().get(random.nextInt(QueueSimulation.MEMBERS));
    send(null);
  }

  private void send(@Nullable DomainRevision basedOn) {
    boolean delayed = random.nextInt(100) < delayedPercent;
    int transit = delayed ? random.nextInt(MAX_TRANSIT_MILLIS) : 1 + random.nextInt(3);
    answerLost = delayedPercent > 0 && random.nextInt(100) < LOST_ANSWERS_PERCENT;
    sentAt = simulation.millis();
    nextSendAt = 0;
    requestId = simulation.order(member, domain, out, ASSUMED_TIMEOUT, basedOn, transit);
  }
}
