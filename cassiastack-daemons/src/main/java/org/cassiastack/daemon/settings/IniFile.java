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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cassiastack.model.CassiaException;
import org.cassiastack.model.NodeId;
import org.cassiastack.model.Refusal;
import org.cassiastack.model.ResultCode;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;
import org.jspecify.annotations.Nullable;

/**
 * An INI file whose values are read by section and key.
 *
 * <ol>
 *   <li>Each read specifies the section and the key. If the key is missing, the read refuses the
 *       file, or returns the given default value, null or an empty map.
 *   <li>The refusal of an invalid value names the file, the section, the key, the value and the
 *       allowed values.
 *   <li>{@link #refuseUnknownKeys} refuses a file that contains a key that has not been read.
 * </ol>
 *
 * @since 0.1
 */
public final class IniFile {
  private static final int MAX_PORT = 65_535;

  private final String fileName;
  private final Ini ini;
  private final ResultCode code;
  private final Set<String> readKeys = new HashSet<>();

  private IniFile(String fileName, Ini ini, ResultCode code) {
    this.fileName = fileName;
    this.ini = ini;
    this.code = code;
  }

  /**
   * Reads a file.
   *
   * @param path path of the file
   * @param code result code of refusals
   * @throws CassiaException if the file cannot be read or is not a valid INI file
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
   * Parses the text of a file.
   *
   * @param fileName name of the file in refusals
   * @param text content of the file
   * @param code result code of refusals
   * @throws CassiaException if the text is not a valid INI file
   */
  public static IniFile parse(String fileName, Reader text, ResultCode code)
      throws CassiaException {
    Ini ini = new Ini();
    ini.setConfig(format());
    try {
      ini.load(text);
    } catch (IOException e) {
      throw CassiaException.of(
          new Refusal(
              code, "File %s is not a valid INI file: %s.".formatted(fileName, e.getMessage())));
    }
    return new IniFile(fileName, ini, code);
  }

  /** Returns the format: text is taken as it is, and keys may stand before the first section. */
  private static Config format() {
    Config format = new Config();
    format.setEscape(false);
    format.setTree(false);
    format.setEmptyOption(true);
    format.setGlobalSection(true);
    format.setGlobalSectionName("");
    return format;
  }

  /**
   * Returns the full names of the sections whose name is the given first word, a space and a
   * further name, such as {@code service ice} for {@code service}.
   */
  public List<String> sections(String firstWord) {
    List<String> found = new ArrayList<>();
    for (String s : ini.keySet()) {
      if (s.startsWith(firstWord + " ")) {
        found.add(s);
      }
    }
    return found;
  }

  /**
   * Returns the part of a section's name after its first word: {@code ice} of {@code service ice}.
   */
  public static String nameOf(String section) {
    return section.substring(section.indexOf(' ') + 1).trim();
  }

  /**
   * Reads a required text.
   *
   * @throws CassiaException if the key is missing or its value is blank
   */
  public String text(String section, String key) throws CassiaException {
    String value = find(section, key);
    if (value == null || value.isBlank()) {
      throw refusal(section, key, "", "a value that is not blank");
    }
    return value.trim();
  }

  /** Reads a text, or returns the default value if the key is missing. */
  public String text(String section, String key, String defaultValue) {
    String value = find(section, key);
    return value == null ? defaultValue : value.trim();
  }

  /** Reads an address to listen on, or returns null if the key is missing. */
  public @Nullable InetSocketAddress optionalAddress(String section, String key)
      throws CassiaException {
    String value = find(section, key);
    return value == null ? null : parseAddress(section, key, value.trim(), 0);
  }

  /**
   * Reads a whole number from {@code min} to {@code max}, or returns the default value if the key
   * is missing.
   */
  public int number(String section, String key, int defaultValue, int min, int max)
      throws CassiaException {
    String value = text(section, key, Integer.toString(defaultValue));
    String allowed = "a whole number from " + min + " to " + max;
    try {
      int n = Integer.parseInt(value);
      if (n < min || n > max) {
        throw refusal(section, key, value, allowed);
      }
      return n;
    } catch (NumberFormatException e) {
      throw refusal(section, key, value, allowed);
    }
  }

  /**
   * Reads a duration such as {@code 250ms} or {@code 5s}, or returns the default value if the key
   * is missing.
   */
  public Duration duration(String section, String key, Duration defaultValue)
      throws CassiaException {
    String value = text(section, key, defaultValue.toMillis() + "ms");
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

  /**
   * Reads one of two words, or returns the default value if the key is missing.
   *
   * @param yes the word that is read as true
   * @param no the word that is read as false
   */
  public boolean choice(String section, String key, String yes, String no, boolean defaultValue)
      throws CassiaException {
    String value = text(section, key, defaultValue ? yes : no);
    if (value.equals(yes)) {
      return true;
    }
    if (value.equals(no)) {
      return false;
    }
    throw refusal(section, key, value, yes + " or " + no);
  }

  /**
   * Reads an address such as {@code 127.0.0.1:7000}; the default value is used if the key is
   * missing.
   */
  public InetSocketAddress address(String section, String key, String defaultValue)
      throws CassiaException {
    return parseAddress(section, key, text(section, key, defaultValue), 0);
  }

  /** Reads a required list of addresses, separated by commas. */
  public List<InetSocketAddress> addresses(String section, String key) throws CassiaException {
    List<InetSocketAddress> all = new ArrayList<>();
    for (String part : text(section, key).split(",", -1)) {
      all.add(parseAddress(section, key, part.trim(), 1));
    }
    return all;
  }

  /** Returns whether the file contains a key; the key then counts as read. */
  public boolean has(String section, String key) {
    return find(section, key) != null;
  }

  /**
   * Reads a list of nodes such as {@code entry-1@127.0.0.1:7002}, separated by commas.
   *
   * @return addresses by node, in the order of the file; empty if the key is missing
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
        throw refusal(section, key, node, "each node only once");
      }
    }
    return all;
  }

  /** Reads a required URL with the scheme {@code http}. */
  public URI url(String section, String key) throws CassiaException {
    String value = text(section, key);
    if (!value.startsWith("http://")) {
      throw refusal(
          section,
          key,
          value,
          "a URL that starts with http://, such as http://127.0.0.1:9000/tasks");
    }
    return URI.create(value);
  }

  /**
   * Refuses the file if it contains a key that has not been read, so that misspelled keys are not
   * ignored. Call this method after all reads.
   *
   * @throws CassiaException if the file contains an unknown key
   */
  public void refuseUnknownKeys() throws CassiaException {
    for (Map.Entry<String, Profile.Section> section : ini.entrySet()) {
      for (Map.Entry<String, String> option : section.getValue().entrySet()) {
        if (!readKeys.contains(section.getKey() + "\n" + option.getKey())) {
          throw refusal(
              section.getKey(),
              option.getKey(),
              String.valueOf(option.getValue()),
              "no value, because the key is unknown");
        }
      }
    }
  }

  /**
   * Creates the refusal of one value.
   *
   * @param value the value that was found, or empty if there is none
   * @param allowed describes the allowed values
   */
  public CassiaException refusal(String section, String key, String value, String allowed) {
    return CassiaException.of(
        new Refusal(
            code,
            "File %s, section [%s], key '%s' has value '%s'; allowed: %s. Fix the file and retry."
                .formatted(fileName, section, key, value, allowed)));
  }

  private InetSocketAddress parseAddress(String section, String key, String value, int minPort)
      throws CassiaException {
    String allowed = "an address such as 127.0.0.1:7000";
    int colon = value.lastIndexOf(':');
    if (colon < 1) {
      throw refusal(section, key, value, allowed);
    }
    try {
      int port = Integer.parseInt(value.substring(colon + 1));
      if (port < minPort || port > MAX_PORT) {
        throw refusal(section, key, value, allowed);
      }
      return new InetSocketAddress(value.substring(0, colon), port);
    } catch (NumberFormatException e) {
      throw refusal(section, key, value, allowed);
    }
  }

  private @Nullable String find(String section, String key) {
    readKeys.add(section + "\n" + key);
    return ini.get(section, key);
  }
}
