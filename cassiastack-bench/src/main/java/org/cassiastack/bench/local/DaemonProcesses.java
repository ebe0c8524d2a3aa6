package org.cassiastack.bench.local;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** How daemons are started as processes of their own, and what their logs tell. */
public final class DaemonProcesses {
  private static final Pattern ADDRESS = Pattern.compile("(\\w+)=/127\\.0\\.0\\.1:(\\d+)");

  private DaemonProcesses() {}

  /**
   * Returns the command that starts a daemon on this class path.
   *
   * @param main its main class
   * @param settings its settings file
   * @param options options of the Java machine
   */
  public static List<String> launchCommand(Class<?> main, Path settings, List<String> options) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
    command.addAll(List.of("--settings", settings.toString()));
    return command;
  }

  /**
   * Reads a log up to the first line that contains a text.
   *
   * @throws IOException when the log ends before
   */
  public static String awaitLine(BufferedReader log, String part) throws IOException {
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(part)) {
        return line;
      }
    }
    throw new IOException("a process ended before it logged " + part);
  }

  /**
   * Returns the port of an address that a line names.
   *
   * @throws IOException when the line names no such address
   */
  public static int parsePort(String line, String name) throws IOException {
    Matcher m = ADDRESS.matcher(line);
    while (m.find()) {
      if (m.group(1).equals(name)) {
        return Integer.parseInt(m.group(2));
      }
    }
    throw new IOException("no address of " + name + " in " + line);
  }
}
