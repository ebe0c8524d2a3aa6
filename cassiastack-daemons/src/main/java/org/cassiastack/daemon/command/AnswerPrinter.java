package org.cassiastack.daemon.command;

import java.io.PrintStream;
import org.cassiastack.model.JobAnswer;
import org.jspecify.annotations.Nullable;

/** Prints answers that are not complete. */
final class AnswerPrinter {
  private AnswerPrinter() {}

  static int printFailure(@Nullable JobAnswer answer, PrintStream out) {
    if (answer == null) {
      out.println("the connection ended without an answer");
      return ExitCodes.UNREACHABLE;
    }
    out.printf("%d %s: %s%n", answer.code().number(), answer.code(), answer.message());
    return ExitCodes.REFUSED;
  }
}
