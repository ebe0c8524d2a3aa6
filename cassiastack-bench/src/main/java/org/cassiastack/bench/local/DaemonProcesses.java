package org.cassiastack.bench.local;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Builds the start commands of daemons in separate processes and reads lines and ports from their
 * logs.
 */
public final class DaemonProcesses {
  private static final Pattern ADDRESS = Pattern.compile("(\\w+)=/127\\.0\\.0\\.1:(\\d+)");

  private DaemonProcesses() {}

  /**
   * Returns the command that starts a daemon with the JVM and class path of this process.
   *
   * @param main main class of the daemon
   * @param settings settings file of the daemon
   * @param options JVM options
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
   * Reads a log up to the first line that contains a text, and returns this line.
   *
   * @throws IOException when the log ends before such a line
   */
  public static String awaitLine(BufferedReader log, String expectedText) throws IOException {
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(expectedText)) {
        return line;
      }
    }
    throw new IOException("log of the process ended without a line that contains: " + expectedText);
  }

  /**
   * Parses the port of a loopback address in a log line, such as {@code callers=/127.0.0.1:7000}.
   *
   * @param line the log line
   * @param name name of the address, such as {@code callers}
   * @throws IOException when the line holds no address of this name
   */
  public static int parsePort(String line, String name) throws IOException {
    Matcher matcher = ADDRESS.matcher(line);
    while (matcher.find()) {
      if (matcher.group(1).equals(name)) {
        return Integer.parseInt(matcher.group(2));
      }
    }
    throw new IOException("no loopback address named " + name + " in " + line);
  }
}
