package org.cassiastack.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ReferencePagesTest {
  private static final Path REPOSITORY = Path.of("..");
  private static final Path SETTINGS_SOURCES =
      Path.of("src", "main", "java", "org", "cassiastack", "daemon", "settings");
  private static final Pattern LOGGED_EVENT = Pattern.compile("event=([a-z_]+)");
  private static final Pattern DECISION_EVENT =
      Pattern.compile("(?:Decision\\.of|addDecision)\\(\\s*\"([a-z_]+)\"");
  private static final Pattern EVENT_ROW = Pattern.compile("(?m)^\\| `([a-z_]+)` \\|");
  private static final Pattern KEY =
      Pattern.compile("f\\.\\w+\\(\\s*(\"[a-z-]+\"|s),\\s*\"([a-z.-]+)\"");
  private static final Pattern KEY_ROW =
      Pattern.compile("(?m)^\\| `([a-z-]+)(?: NAME)?` \\| `([a-z.-]+)` \\|");

  @Test
  void the_page_of_log_events_lists_every_event_in_the_sources_and_no_other() throws IOException {
    Set<String> found = new TreeSet<>();
    for (Path source : mainSources()) {
      String text = Files.readString(source);
      found.addAll(firstGroups(LOGGED_EVENT, text));
      found.addAll(firstGroups(DECISION_EVENT, text));
    }

    assertThat(firstGroups(EVENT_ROW, readPage("LOGS.md"))).isEqualTo(found).isNotEmpty();
  }

  @Test
  void the_page_of_settings_lists_every_key_of_an_entry_and_no_other() throws IOException {
    String section = readPage("SETTINGS.md").split("## Agent", -1)[0];

    assertThat(documentedKeys(section)).isEqualTo(readKeys("EntrySettings.java")).isNotEmpty();
  }

  @Test
  void the_page_of_settings_lists_every_key_of_an_agent_and_no_other() throws IOException {
    String section = readPage("SETTINGS.md").split("## Agent", -1)[1];

    assertThat(documentedKeys(section)).isEqualTo(readKeys("AgentSettings.java")).isNotEmpty();
  }

  private static Set<String> documentedKeys(String text) {
    Set<String> rows = new TreeSet<>();
    for (Matcher m = KEY_ROW.matcher(text); m.find(); ) {
      rows.add(m.group(1) + " " + m.group(2));
    }
    return rows;
  }

  private static Set<String> readKeys(String file) throws IOException {
    Set<String> keys = new TreeSet<>();
    String source = Files.readString(SETTINGS_SOURCES.resolve(file));
    for (Matcher m = KEY.matcher(source); m.find(); ) {
      // In AgentSettings, the variable s contains the name of the section of one minion.
      String section = m.group(1).equals("s") ? "minion" : m.group(1).replace("\"", "");
      keys.add(section + " " + m.group(2));
    }
    return keys;
  }

  private static Set<String> firstGroups(Pattern pattern, String text) {
    Set<String> found = new TreeSet<>();
    for (Matcher m = pattern.matcher(text); m.find(); ) {
      found.add(m.group(1));
    }
    return found;
  }

  private static String readPage(String name) throws IOException {
    return Files.readString(REPOSITORY.resolve("docs").resolve(name));
  }

  private static List<Path> mainSources() throws IOException {
    try (Stream<Path> all = Files.walk(REPOSITORY)) {
      return all.filter(p -> p.toString().endsWith(".java"))
          .filter(p -> p.toString().contains("/src/main/"))
          .toList();
    }
  }
}
