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

/** Delivers messages late, out of order, twice or never, as a seeded random source says. */
final class FaultyNetwork {
  private static final int LONGEST_DELAY_SECONDS = 60;

  private final VirtualScheduler schedule;
  private final SplittableRandom random;
  private final double dropped;
  private final double doubled;
  private final double late;
  private final Map<NodeId, Consumer<Received>> inboxes = new HashMap<>();
  private final Set<NodeId> isolate = new HashSet<>();
  private final Map<Class<?>, Integer> sent = new HashMap<>();
  private boolean healed;

  FaultyNetwork(VirtualScheduler schedule, SplittableRandom random, double faults) {
    this.schedule = schedule;
    this.random = random;
    this.dropped = faults * random.nextDouble(0.3);
    this.doubled = faults * random.nextDouble(0.3);
    this.late = faults * random.nextDouble(0.1);
  }

  void join(NodeId node, Consumer<Received> inbox) {
    inboxes.put(node, inbox);
  }

  void isolate(NodeId node) {
    isolate.add(node);
  }

  void reconnect(NodeId node) {
    isolate.remove(node);
  }

  void disableFaults() {
    healed = true;
    isolate.clear();
  }

  void send(NodeId from, NodeId to, Message message) {
    sent.merge(message.getClass(), 1, Integer::sum);
    if (isolate.contains(from) || isolate.contains(to) || happens(dropped)) {
      return;
    }
    deliver(from, to, message);
    if (happens(doubled)) {
      deliver(from, to, message);
    }
  }

  int sent(Class<?> type) {
    return sent.getOrDefault(type, 0);
  }

  private void deliver(NodeId from, NodeId to, Message message) {
    Duration delay =
        happens(late)
            ? Duration.ofMillis(random.nextLong(LONGEST_DELAY_SECONDS * 1_000L))
            : Duration.ofNanos(200_000 + random.nextLong(3_000_000));
    Consumer<Received> inbox = inboxes.get(to);
    if (inbox != null) {
      schedule.runAfter(delay, () -> inbox.accept(new Received(from, message)));
    }
  }

  private boolean happens(double chance) {
    return !healed && random.nextDouble() < chance;
  }
}
