package org.cassiastack.bench.local;

import org.cassiastack.model.CassiaException;

/**
 * One daemon of a local system.
 *
 * @since 0.1
 */
public interface Node extends AutoCloseable {
  /** Starts the daemon, also after it was stopped or killed; does nothing while it runs. */
  void start() throws CassiaException;

  /** Requests an orderly stop and waits until the daemon has stopped or a timeout has passed. */
  void stop() throws CassiaException;

  /** Ends the process of the daemon at once, without notice to other processes. */
  void kill() throws CassiaException;

  /** Suspends the process of the daemon. */
  void pause() throws CassiaException;

  /** Resumes the process of a paused daemon. */
  void resume() throws CassiaException;

  @Override
  void close();
}
