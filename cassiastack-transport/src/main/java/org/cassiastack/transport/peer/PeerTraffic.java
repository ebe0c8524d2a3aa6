package org.cassiastack.transport.peer;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the frames and bytes of all connections of a process. Bytes include the length fields of
 * frames, but not the headers of TCP and IP.
 *
 * @since 0.1
 */
public final class PeerTraffic {
  private final LongAdder frames = new LongAdder();
  private final LongAdder bytes = new LongAdder();

  PeerTraffic() {}

  void countFrame(int frameBytes) {
    frames.increment();
    bytes.add(frameBytes);
  }

  /** Returns the number of frames sent and received. */
  public long frames() {
    return frames.sum();
  }

  /** Returns the number of bytes sent and received. */
  public long bytes() {
    return bytes.sum();
  }
}
