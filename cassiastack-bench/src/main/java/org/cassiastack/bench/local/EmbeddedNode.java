package org.cassiastack.bench.local;

import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;
import org.jspecify.annotations.Nullable;

/** A daemon within this process. It can be started and stopped, but not killed or paused. */
final class EmbeddedNode implements Node {
  private final Starter starter;
  private @Nullable Runnable stopper;

  EmbeddedNode(Starter starter) {
    this.starter = starter;
  }

  @Override
  public void start() throws CassiaException {
    if (stopper == null) {
      stopper = starter.start();
    }
  }

  @Override
  public void stop() {
    Runnable currentStopper = stopper;
    if (currentStopper != null) {
      stopper = null;
      currentStopper.run();
    }
  }

  @Override
  public void kill() throws CassiaException {
    throw unsupported();
  }

  @Override
  public void pause() throws CassiaException {
    throw unsupported();
  }

  @Override
  public void resume() throws CassiaException {
    throw unsupported();
  }

  @Override
  public void close() {
    stop();
  }

  private static CassiaException unsupported() {
    return CassiaException.of(
        Refusals.malformed("a daemon can be killed, paused or resumed only with --processes"));
  }

  /** Function that starts the daemon of a node. */
  @FunctionalInterface
  interface Starter {
    /** Starts the daemon and returns an action that stops it. */
    Runnable start() throws CassiaException;
  }
}
