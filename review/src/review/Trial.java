package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One trial of a case: a deployment with minions and callers, which ends with a verdict. */
abstract class Trial {
  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  private static final List<String> VERDICTS = List.of("held", "broken", "not run");

  /** The trial is given up after this time. */
  private static final int MAX_SECONDS = 112;

  static final String SERVICE = "ice-desk";

  /** Whether the trial plays the disruption. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  Record record;
  Runs runs;
  Deployment deployment;
  Callers callers;
  final List<StandInMinion> minions = new ArrayList<>();

  /** Returns the number of side machines. */
  abstract int sides();

  /** Returns the labels of the minion on a side machine. */
  List<String> labels(int side) {
    return List.of(side % 3 == 2 ? "b" : "a", "r1-" + (side / 3));
  }

  /** Returns the routes of the first configuration. */
  abstract List<String> routes();

  /** Plays the trial on a deployment that serves. Returns one of the exit codes. */
  abstract int play() throws Exception;

  /**
   * Returns whether the rule LOST forbids the state of an accepted job that nobody has cancelled
   * and whose tasks do not fail: no answer in time, not known, or ended without a cause.
   */
  static boolean isLost(String state) {
    return !List.of("queued", "running", "completed").contains(state);
  }

  /** Runs a trial and ends the process with its verdict. */
  static void run(Trial t, String[] arguments) {
    int verdict = NOT_RUN;
    Thread watchdog = new Thread(() -> giveUp(), "watchdog");
    watchdog.setDaemon(true);
    watchdog.start();
    try (Record record = Record.create(Path.of(arguments[0], "record.txt"))) {
      t.record = record;
      t.runs = new Runs(record);
      verdict = t.playOnDeployment();
      record.say("verdict %d: %s", verdict, VERDICTS.get(verdict));
    } catch (Throwable e) {
      // The exit code of an uncaught error would read as a broken rule.
      verdict = NOT_RUN;
      System.out.println("the trial could not run: " + e);
      e.printStackTrace(System.out);
    }
    System.exit(verdict);
  }

  private static void giveUp() {
    Callers.pause(MAX_SECONDS * 1_000L);
    System.out.println("the trial took too long");
    System.exit(NOT_RUN);
  }

  private int playOnDeployment() throws Exception {
    try (Deployment d = Deployment.create(record, sides())) {
      Thread cleanUp = new Thread(() -> close(d));
      Runtime.getRuntime().addShutdownHook(cleanUp);
      deployment = d;
      callers = new Callers(record, d);
      d.start();
      for (int i = 0; i < sides(); i++) {
        minions.add(StandInMinion.start(record, runs, d, i, SERVICE, labels(i)));
      }
      String first = Callers.configuration(1, SERVICE, routes());
      if (callers.order(0, "PUT", "/config", first, 20_000) != 200 || !callers.awaitReady(20_000)) {
        record.say("the deployment did not come up");
        return NOT_RUN;
      }
      Callers.pause(2_000);
      int verdict = play();
      minions.forEach(StandInMinion::close);
      Runtime.getRuntime().removeShutdownHook(cleanUp);
      return verdict;
    }
  }

  private static void close(Deployment d) {
    try {
      d.close();
    } catch (IOException e) {
      System.out.println("not all files were deleted: " + e);
    }
  }
}
