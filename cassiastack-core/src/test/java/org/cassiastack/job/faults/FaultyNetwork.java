package org.cassiastack.job.faults;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.cassiastack.controller.VirtualScheduler;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Message;
import org.cassiastack.protocol.Received;

/** Delays, reorders, duplicates and drops messages, decided by a seeded source of randomness. */
final class FaultyNetwork {
  private static final int MAX_DELAY_SECONDS = 60;

  private final VirtualScheduler scheduler;
  private final SplittableRandom random;
  private final double dropProbability;
  private final double duplicateProbability;
  private final double delayProbability;
  private final Map<NodeId, Consumer<Received>> inboxes = new HashMap<>();
  private final Set<NodeId> isolatedNodes = new HashSet<>();
  private final Map<Class<?>, Integer> sentByType = new HashMap<>();
  private boolean faultsDisabled;

  FaultyNetwork(VirtualScheduler scheduler, SplittableRandom random, double faultScale) {
    this.scheduler = scheduler;
    this.random = random;
    this.dropProbability = faultScale * random.nextDouble(0.3);
    this.duplicateProbability = faultScale * random.nextDouble(0.3);
    this.delayProbability = faultScale * random.nextDouble(0.1);
  }

  void join(NodeId node, Consumer<Received> inbox) {
    inboxes.put(node, inbox);
  }

  void isolate(NodeId node) {
    isolatedNodes.add(node);
  }

  void reconnect(NodeId node) {
    isolatedNodes.remove(node);
  }

  void disableFaults() {
    faultsDisabled = true;
    isolatedNodes.clear();
  }

  void send(NodeId from, NodeId to, Message message) {
    sentByType.merge(message.getClass(), 1, Integer::sum);
    if (isolatedNodes.contains(from) || isolatedNodes.contains(to) || happens(dropProbability)) {
      return;
    }
    deliver(from, to, message);
    if (happens(duplicateProbability)) {
      deliver(from, to, message);
    }
  }

  int sent(Class<?> type) {
    return sentByType.getOrDefault(type, 0);
  }

  private void deliver(NodeId from, NodeId to, Message message) {
    Duration delay =
        happens(delayProbability)
            ? Duration.ofMillis(random.nextLong(MAX_DELAY_SECONDS * 1_000L))
            : Duration.ofNanos(200_000 + random.nextLong(3_000_000));
    Consumer<Received> inbox = inboxes.get(to);
    if (inbox != null) {
      scheduler.runAfter(delay, () -> inbox.accept(new Received(from, message)));
    }
  }

  private boolean happens(double probability) {
    return !faultsDisabled && random.nextDouble() < probability;
  }
}
