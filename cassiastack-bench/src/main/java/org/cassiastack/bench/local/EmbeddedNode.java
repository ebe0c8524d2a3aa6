package org.cassiastack.bench.local;

import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Refusals;
import org.jspecify.annotations.Nullable;

/** A daemon within this process; it can be stopped and started, but not be killed or frozen. */
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
    Runnable s = stopper;
    if (s != null) {
      stopper = null;
      s.run();
    }
  }

  @Override
  public void kill() throws CassiaException {
    throw onlyProcesses();
  }

  @Override
  public void pause() throws CassiaException {
    throw onlyProcesses();
  }

  @Override
  public void resume() throws CassiaException {
    throw onlyProcesses();
  }

  @Override
  public void close() {
    stop();
  }

  private static CassiaException onlyProcesses() {
    return CassiaException.of(
        Refusals.malformed("a daemon can be killed or frozen only with --processes"));
  }

  /** Starts a daemon. */
  @FunctionalInterface
  interface Starter {
    /** Starts a daemon and returns what stops it. */
    Runnable start() throws CassiaException;
  }
}
