package org.cassiastack.daemon.command;

import java.io.PrintStream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Customer;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobKey;
import org.cassiastack.transport.http.CallerClient;

/** Cancels a job and prints the answer to the job. */
public final class CancelCommand implements Command {
  @Override
  public String name() {
    return "cancel";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("cancel a job");
    AddressArguments.declare(
        parser, "entry", "127.0.0.1:7000", "address of the callers' API of an entry");
    parser.addArgument("--customer").required(true).help("customer of the job");
    parser.addArgument("key").metavar("KEY").help("idempotency key of the job");
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    Customer customer = new Customer(arguments.getString("customer"));
    JobKey key = JobKey.parse(arguments.getString("key"));
    JobAnswer answer =
        CallerClient.create(AddressArguments.parse(arguments, "entry"))
            .cancel(customer, key)
            .block();
    return AnswerPrinter.printFailure(answer, out);
  }
}
