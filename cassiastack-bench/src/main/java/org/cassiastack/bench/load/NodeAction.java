package org.cassiastack.bench.load;

/**
 * What a script can do to a process.
 *
 * @since 0.1
 */
public enum NodeAction {
  /** A planned stop. */
  STOP,
  /** The process ends at once, without a word. */
  KILL,
  /** The process is frozen. */
  PAUSE,
  /** A frozen process goes on. */
  RESUME,
  /** A process that ended is started again. */
  START
}
