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
  private static final Path ROOT = Path.of("..");
  private static final Path SETTINGS =
      Path.of("src", "main", "java", "org", "cassiastack", "daemon", "settings");
  private static final Pattern EVENT = Pattern.compile("event=([a-z_]+)");
  private static final Pattern DECISION =
      Pattern.compile("(?:Decision\\.of|addDecision)\\(\\s*\"([a-z_]+)\"");
  private static final Pattern EVENT_ROW = Pattern.compile("(?m)^\\| `([a-z_]+)` \\|");
  private static final Pattern KEY =
      Pattern.compile("f\\.\\w+\\(\\s*(\"[a-z-]+\"|s),\\s*\"([a-z.-]+)\"");
  private static final Pattern KEY_ROW =
      Pattern.compile("(?m)^\\| `([a-z-]+)(?: NAME)?` \\| `([a-z.-]+)` \\|");

  @Test
  void the_page_of_log_events_names_every_event_of_the_sources_and_no_other() throws IOException {
    Set<String> found = new TreeSet<>();
    for (Path source : sources()) {
      String text = Files.readString(source);
      found.addAll(first(EVENT, text));
      found.addAll(first(DECISION, text));
    }

    assertThat(first(EVENT_ROW, page("LOGS.md"))).isEqualTo(found).isNotEmpty();
  }

  @Test
  void the_page_of_settings_names_every_key_of_an_entry_and_no_other() throws IOException {
    String section = page("SETTINGS.md").split("## Agent", -1)[0];

    assertThat(rows(section)).isEqualTo(keys("EntrySettings.java")).isNotEmpty();
  }

  @Test
  void the_page_of_settings_names_every_key_of_an_agent_and_no_other() throws IOException {
    String section = page("SETTINGS.md").split("## Agent", -1)[1];

    assertThat(rows(section)).isEqualTo(keys("AgentSettings.java")).isNotEmpty();
  }

  private static Set<String> rows(String text) {
    Set<String> rows = new TreeSet<>();
    for (Matcher m = KEY_ROW.matcher(text); m.find(); ) {
      rows.add(m.group(1) + " " + m.group(2));
    }
    return rows;
  }

  private static Set<String> keys(String file) throws IOException {
    Set<String> keys = new TreeSet<>();
    String source = Files.readString(SETTINGS.resolve(file));
    for (Matcher m = KEY.matcher(source); m.find(); ) {
      // The variable s stands for the section of one minion.
      String section = m.group(1).equals("s") ? "minion" : m.group(1).replace("\"", "");
      keys.add(section + " " + m.group(2));
    }
    return keys;
  }

  private static Set<String> first(Pattern pattern, String text) {
    Set<String> found = new TreeSet<>();
    for (Matcher m = pattern.matcher(text); m.find(); ) {
      found.add(m.group(1));
    }
    return found;
  }

  private static String page(String name) throws IOException {
    return Files.readString(ROOT.resolve("docs").resolve(name));
  }

  private static List<Path> sources() throws IOException {
    try (Stream<Path> all = Files.walk(ROOT)) {
      return all.filter(p -> p.toString().endsWith(".java"))
          .filter(p -> p.toString().contains("/src/main/"))
          .toList();
    }
  }
}
