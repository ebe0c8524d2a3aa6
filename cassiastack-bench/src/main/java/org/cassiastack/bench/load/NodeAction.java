package org.cassiastack.bench.load;

/**
 * An action of a script on one daemon.
 *
 * @since 0.1
 */
public enum NodeAction {
  /** Stops the daemon in an orderly way. */
  STOP,
  /** Ends the process of the daemon at once, without notice to other processes. */
  KILL,
  /** Suspends the process of the daemon. */
  PAUSE,
  /** Resumes a paused process. */
  RESUME,
  /** Starts a daemon that was stopped or killed. */
  START
}
