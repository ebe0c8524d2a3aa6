package org.cassiastack.transport.peer;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Message;

/** Records the events of a network, so that tests can wait for them. */
final class RecordingListener implements PeerListener {
  private static final long MAX_WAIT_SECONDS = 20;

  private final BlockingQueue<String> connectionEvents = new LinkedBlockingQueue<>();
  private final BlockingQueue<Message> messages = new LinkedBlockingQueue<>();

  @Override
  public void onConnected(NodeId peer) {
    connectionEvents.add("connected " + peer);
  }

  @Override
  public void onDisconnected(NodeId peer) {
    connectionEvents.add("disconnected " + peer);
  }

  @Override
  public void onMessage(NodeId peer, Message message) {
    messages.add(message);
  }

  String nextConnectionEvent() throws InterruptedException {
    return next(connectionEvents);
  }

  boolean hasConnectionEvent() {
    return !connectionEvents.isEmpty();
  }

  Message nextMessage() throws InterruptedException {
    return next(messages);
  }

  private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
    T next = queue.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    if (next == null) {
      throw new AssertionError("no event within the maximum wait");
    }
    return next;
  }
}
