package org.cassiastack.daemon.command;

import java.io.PrintStream;
import org.cassiastack.model.JobAnswer;
import org.jspecify.annotations.Nullable;

/** Prints answers of jobs that did not complete. */
final class AnswerPrinter {
  private AnswerPrinter() {}

  /**
   * Prints the result code and the message of an answer.
   *
   * @param answer the answer, or null if the connection ended without an answer
   * @return the exit code
   */
  static int printFailure(@Nullable JobAnswer answer, PrintStream out) {
    if (answer == null) {
      out.println("connection closed without an answer");
      return ExitCodes.UNREACHABLE;
    }
    out.printf("%d %s: %s%n", answer.code().number(), answer.code(), answer.message());
    return ExitCodes.REFUSED;
  }
}
