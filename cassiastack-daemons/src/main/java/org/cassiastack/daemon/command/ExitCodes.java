package org.cassiastack.daemon.command;

/**
 * Exit codes of the command line.
 *
 * @since 0.1
 */
public final class ExitCodes {
  /** Done as asked. */
  public static final int OK = 0;

  /** The request was refused or failed; the output says why. */
  public static final int REFUSED = 1;

  /** The arguments were wrong. */
  public static final int USAGE = 2;

  /** The other side could not be reached; whether it acted is not known. */
  public static final int UNREACHABLE = 3;

  private ExitCodes() {}
}
