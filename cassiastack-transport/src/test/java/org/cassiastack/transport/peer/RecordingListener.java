package org.cassiastack.transport.peer;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cassiastack.model.NodeId;
import org.cassiastack.protocol.Message;

/** Keeps what a network told, for tests to wait for. */
final class RecordingListener implements PeerListener {
  private static final long LONGEST_WAIT_SECONDS = 20;

  private final BlockingQueue<String> connections = new LinkedBlockingQueue<>();
  private final BlockingQueue<Message> messages = new LinkedBlockingQueue<>();

  @Override
  public void onConnected(NodeId peer) {
    connections.add("connected " + peer);
  }

  @Override
  public void onDisconnected(NodeId peer) {
    connections.add("disconnected " + peer);
  }

  @Override
  public void onMessage(NodeId peer, Message message) {
    messages.add(message);
  }

  String nextConnectionEvent() throws InterruptedException {
    return next(connections);
  }

  Message nextMessage() throws InterruptedException {
    return next(messages);
  }

  private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
    T next = queue.poll(LONGEST_WAIT_SECONDS, TimeUnit.SECONDS);
    if (next == null) {
      throw new AssertionError("nothing came");
    }
    return next;
  }
}
