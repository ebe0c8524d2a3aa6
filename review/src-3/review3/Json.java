package review3;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers and booleans. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    Object value = new Json(text).value();
    if (!(value instanceof Map)) {
      throw new IllegalArgumentException("not a JSON object: " + text);
    }
    return (Map<String, Object>) value;
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      String separator = "{";
      for (Map.Entry<?, ?> e : map.entrySet()) {
        out.append(separator);
        write(String.valueOf(e.getKey()), out);
        out.append(':');
        write(e.getValue(), out);
        separator = ",";
      }
      out.append(map.isEmpty() ? "{}" : "}");
    } else if (value instanceof List<?> list) {
      String separator = "[";
      for (Object element : list) {
        out.append(separator);
        write(element, out);
        separator = ",";
      }
      out.append(list.isEmpty() ? "[]" : "]");
    } else if (value instanceof String s) {
      out.append('"').append(s.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
    } else {
      out.append(value);
    }
  }

  private char next() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
    if (at >= text.length()) {
      throw new IllegalArgumentException("the JSON text ends early");
    }
    return text.charAt(at);
  }

  private Object value() {
    char c = next();
    if (c == '{') {
      return objectValue();
    }
    if (c == '[') {
      return arrayValue();
    }
    if (c == '"') {
      return stringValue();
    }
    int start = at;
    while (at < text.length() && "{}[],:\" \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(start, at);
    if (word.equals("true") || word.equals("false")) {
      return Boolean.valueOf(word);
    }
    if (word.equals("null")) {
      throw new IllegalArgumentException("null is not used");
    }
    return word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
  }

  private Map<String, Object> objectValue() {
    Map<String, Object> map = new LinkedHashMap<>();
    at++;
    while (next() != '}') {
      String key = stringValue();
      if (next() != ':') {
        throw new IllegalArgumentException("':' expected at " + at);
      }
      at++;
      map.put(key, value());
      if (next() == ',') {
        at++;
      }
    }
    at++;
    return map;
  }

  private List<Object> arrayValue() {
    List<Object> list = new ArrayList<>();
    at++;
    while (next() != ']') {
      list.add(value());
      if (next() == ',') {
        at++;
      }
    }
    at++;
    return list;
  }

  private String stringValue() {
    StringBuilder out = new StringBuilder();
    next();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escaped);
      }
    }
    at++;
    return out.toString();
  }
}
