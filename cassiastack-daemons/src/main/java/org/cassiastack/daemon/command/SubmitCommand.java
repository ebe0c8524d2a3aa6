package org.cassiastack.daemon.command;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.Customer;
import org.cassiastack.model.Job;
import org.cassiastack.model.JobAnswer;
import org.cassiastack.model.JobKey;
import org.cassiastack.model.Payload;
import org.cassiastack.model.Refusals;
import org.cassiastack.model.ServiceName;
import org.cassiastack.model.Task;
import org.cassiastack.model.TaskResult;
import org.cassiastack.transport.http.CallerClient;
import org.jspecify.annotations.Nullable;

/**
 * Submits a job with one task for each line of a file, waits for the answer and prints the outputs
 * of the tasks in the order of the lines.
 */
public final class SubmitCommand implements Command {
  @Override
  public String name() {
    return "submit";
  }

  @Override
  public void declare(Subparser parser) {
    parser.help("submit a job and wait for its answer");
    AddressArguments.declare(
        parser, "entry", "127.0.0.1:7000", "address of the callers' API of an entry");
    parser.addArgument("--customer").required(true).help("customer of the job");
    parser.addArgument("--service").required(true).help("service that runs the tasks");
    parser.addArgument("--key").help("idempotency key, a UUID of version 7; a new key if missing");
    parser.addArgument("--timeout-millis").type(Long.class).setDefault(60_000L);
    parser.addArgument("--non-idempotent").action(Arguments.storeTrue());
    parser.addArgument("file").metavar("FILE").help("file with the input of one task per line");
  }

  @Override
  public int run(Namespace arguments, PrintStream out) throws CassiaException {
    Job job = createJob(arguments, readLines(Path.of(arguments.getString("file"))));
    out.println("key " + job.key());
    JobAnswer answer =
        CallerClient.create(AddressArguments.parse(arguments, "entry")).submit(job).block();
    if (answer == null || !answer.isComplete()) {
      return AnswerPrinter.printFailure(answer, out);
    }
    for (TaskResult r : answer.results()) {
      out.println(r.output().toText());
    }
    return ExitCodes.OK;
  }

  private static Job createJob(Namespace arguments, List<String> lines) throws CassiaException {
    List<Task> tasks = new ArrayList<>();
    for (String line : lines) {
      tasks.add(new Task(tasks.size(), Payload.ofText(line)));
    }
    return new Job(
        parseOrCreateKey(arguments.getString("key")),
        new Customer(arguments.getString("customer")),
        new ServiceName(arguments.getString("service")),
        Duration.ofMillis(arguments.getLong("timeout_millis")),
        !arguments.getBoolean("non_idempotent"),
        tasks);
  }

  private static JobKey parseOrCreateKey(@Nullable String text) throws CassiaException {
    if (text != null) {
      return JobKey.parse(text);
    }
    ThreadLocalRandom random = ThreadLocalRandom.current();
    return JobKey.of(Instant.now(), random.nextLong(), random.nextLong());
  }

  private static List<String> readLines(Path file) throws CassiaException {
    try {
      return Files.readAllLines(file);
    } catch (IOException e) {
      throw CassiaException.of(Refusals.malformed("file " + file + " cannot be read"));
    }
  }
}
