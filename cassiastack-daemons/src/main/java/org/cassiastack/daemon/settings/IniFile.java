package org.cassiastack.daemon.settings;

import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Refusal;
import org.cassiastack.model.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * An INI file that is read key by key and checked as a whole.
 *
 * <ol>
 *   <li>Each read names the section, the key and, where there is one, the default.
 *   <li>A wrong value names file, section, key, the value and what is allowed.
 *   <li>{@link #refuseUnknownKeys} refuses sections and keys that were never asked for.
 * </ol>
 *
 * @since 0.1
 */
public final class IniFile {
  private static final int MAX_PORT = 65_535;

  private final String fileName;
  private final INIConfiguration ini;
  private final ResultCode code;
  private final Set<String> read = new HashSet<>();

  private IniFile(String fileName, INIConfiguration ini, ResultCode code) {
    this.fileName = fileName;
    this.ini = ini;
    this.code = code;
  }

  /**
   * Reads a file.
   *
   * @param path the file
   * @param code code of the refusals
   * @throws CassiaException when the file cannot be read or is no INI
   */
  public static IniFile read(Path path, ResultCode code) throws CassiaException {
    try (Reader reader = Files.newBufferedReader(path)) {
      return parse(path.toString(), reader, code);
    } catch (IOException e) {
      throw CassiaException.of(
          new Refusal(code, "File %s cannot be read: %s.".formatted(path, e.getMessage())));
    }
  }

  /**
   * Reads the text of a file.
   *
   * @param fileName name that refusals give
   * @param text the content
   * @param code code of the refusals
   * @throws CassiaException when the text is no INI
   */
  public static IniFile parse(String fileName, Reader text, ResultCode code)
      throws CassiaException {
    INIConfiguration ini = new INIConfiguration();
    try {
      ini.read(text);
    } catch (ConfigurationException | IOException e) {
      throw CassiaException.of(
          new Refusal(code, "File %s is no INI: %s.".formatted(fileName, e.getMessage())));
    }
    return new IniFile(fileName, ini, code);
  }

  /** Returns the names of the sections that begin with a word, such as {@code service ice}. */
  public List<String> sections(String firstWord) {
    List<String> found = new ArrayList<>();
    for (String s : ini.getSections()) {
      if (s != null && s.startsWith(firstWord + " ")) {
        found.add(s);
      }
    }
    return found;
  }

  /** Returns what follows the first word of a section's name. */
  public static String nameOf(String section) {
    return section.substring(section.indexOf(' ') + 1).trim();
  }

  /** Reads a text that must be there. */
  public String text(String section, String key) throws CassiaException {
    String value = find(section, key);
    if (value == null || value.isBlank()) {
      throw refusal(section, key, "", "a value; the key is missing or empty");
    }
    return value.trim();
  }

  /** Reads a text, or the default when the key is missing. */
  public String text(String section, String key, String otherwise) {
    String value = find(section, key);
    return value == null ? otherwise : value.trim();
  }

  /** Reads an address to listen on, or null when the key is missing. */
  public @Nullable InetSocketAddress optionalAddress(String section, String key)
      throws CassiaException {
    String value = find(section, key);
    return value == null ? null : parseAddress(section, key, value.trim(), 0);
  }

  /** Reads a whole number within bounds, or the default when the key is missing. */
  public int number(String section, String key, int otherwise, int least, int most)
      throws CassiaException {
    String value = text(section, key, Integer.toString(otherwise));
    String allowed = "a whole number from %d to %d".formatted(least, most);
    try {
      int n = Integer.parseInt(value);
      if (n < least || n > most) {
        throw refusal(section, key, value, allowed);
      }
      return n;
    } catch (NumberFormatException e) {
      throw refusal(section, key, value, allowed);
    }
  }

  /** Reads a duration such as {@code 250ms} or {@code 5s}, or the default. */
  public Duration duration(String section, String key, Duration otherwise) throws CassiaException {
    String value = text(section, key, otherwise.toMillis() + "ms");
    try {
      if (value.endsWith("ms")) {
        return Duration.ofMillis(Long.parseLong(value.substring(0, value.length() - 2)));
      }
      if (value.endsWith("s")) {
        return Duration.ofSeconds(Long.parseLong(value.substring(0, value.length() - 1)));
      }
    } catch (NumberFormatException e) {
      throw refusal(section, key, value, "a duration such as 250ms or 5s");
    }
    throw refusal(section, key, value, "a duration such as 250ms or 5s");
  }

  /** Reads one of two words, or the default when the key is missing. */
  public boolean choice(String section, String key, String yes, String no, boolean otherwise)
      throws CassiaException {
    String value = text(section, key, otherwise ? yes : no);
    if (value.equals(yes)) {
      return true;
    }
    if (value.equals(no)) {
      return false;
    }
    throw refusal(section, key, value, yes + " or " + no);
  }

  /** Reads an address such as {@code 127.0.0.1:7000}, or the default when the key is missing. */
  public InetSocketAddress address(String section, String key, String otherwise)
      throws CassiaException {
    return parseAddress(section, key, text(section, key, otherwise), 0);
  }

  /** Reads addresses with commas between them; at least one must be there. */
  public List<InetSocketAddress> addresses(String section, String key) throws CassiaException {
    List<InetSocketAddress> all = new ArrayList<>();
    for (String part : text(section, key).split(",", -1)) {
      all.add(parseAddress(section, key, part.trim(), 1));
    }
    return all;
  }

  /** Tells whether a key is there. */
  public boolean has(String section, String key) {
    return find(section, key) != null;
  }

  /**
   * Reads nodes such as {@code entry-1@127.0.0.1:7002} with commas between them; none when the key
   * is missing.
   */
  public Map<NodeId, InetSocketAddress> nodes(String section, String key) throws CassiaException {
    Map<NodeId, InetSocketAddress> all = new LinkedHashMap<>();
    String value = text(section, key, "");
    for (String part : value.isEmpty() ? new String[0] : value.split(",", -1)) {
      String node = part.trim();
      int at = node.indexOf('@');
      if (at < 1) {
        throw refusal(section, key, node, "nodes such as entry-1@127.0.0.1:7002");
      }
      InetSocketAddress address = parseAddress(section, key, node.substring(at + 1), 1);
      if (all.put(new NodeId(node.substring(0, at)), address) != null) {
        throw refusal(section, key, node, "each node once");
      }
    }
    return all;
  }

  /** Reads an HTTP address that must be there. */
  public URI url(String section, String key) throws CassiaException {
    String value = text(section, key);
    if (!value.startsWith("http://")) {
      throw refusal(section, key, value, "an address such as http://127.0.0.1:9000/tasks");
    }
    return URI.create(value);
  }

  /**
   * Refuses whatever was not asked for.
   *
   * @throws CassiaException when the file holds an unknown section or key
   */
  public void refuseUnknownKeys() throws CassiaException {
    for (String section : ini.getSections()) {
      SubnodeConfiguration s = ini.getSection(section);
      for (Iterator<String> keys = s.getKeys(); keys.hasNext(); ) {
        String key = keys.next();
        String shown = section == null ? "" : section;
        if (!read.contains(shown + "\n" + key)) {
          throw refusal(shown, key, String.valueOf(s.getString(key)), "no such key here");
        }
      }
    }
  }

  /** Words a refusal of one value. */
  public CassiaException refusal(String section, String key, String value, String allowed) {
    return CassiaException.of(
        new Refusal(
            code,
            "File %s, section [%s], key '%s' holds '%s'; allowed: %s. Correct it and try again."
                .formatted(fileName, section, key, value, allowed)));
  }

  private InetSocketAddress parseAddress(String section, String key, String value, int leastPort)
      throws CassiaException {
    String allowed = "an address such as 127.0.0.1:7000";
    int colon = value.lastIndexOf(':');
    if (colon < 1) {
      throw refusal(section, key, value, allowed);
    }
    try {
      int port = Integer.parseInt(value.substring(colon + 1));
      if (port < leastPort || port > MAX_PORT) {
        throw refusal(section, key, value, allowed);
      }
      return new InetSocketAddress(value.substring(0, colon), port);
    } catch (NumberFormatException e) {
      throw refusal(section, key, value, allowed);
    }
  }

  private @Nullable String find(String section, String key) {
    // Dots separate levels in this library; doubled ones stand for themselves.
    String escaped = key.replace(".", "..");
    read.add(section + "\n" + escaped);
    return ini.getSections().contains(section) ? ini.getSection(section).getString(escaped) : null;
  }
}
