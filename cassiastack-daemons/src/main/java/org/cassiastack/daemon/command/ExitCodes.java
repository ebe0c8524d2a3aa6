package org.cassiastack.daemon.command;

/**
 * Exit codes of the command line client. A daemon that cannot start exits with {@link #REFUSED}.
 *
 * @since 0.1
 */
public final class ExitCodes {
  /** The command succeeded. */
  public static final int OK = 0;

  /** The request was refused or failed; the output contains the reason. */
  public static final int REFUSED = 1;

  /** The arguments were invalid. */
  public static final int USAGE = 2;

  /** The server could not be reached or did not answer; the request may have had an effect. */
  public static final int UNREACHABLE = 3;

  private ExitCodes() {}
}
