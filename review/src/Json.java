import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer for the stand-ins: objects are maps, arrays are lists. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Map<String, Object> object(String text) {
        Object value = new Json(text).value();
        if (!(value instanceof Map)) {
            throw new IllegalArgumentException("not a JSON object: " + text);
        }
        @SuppressWarnings("unchecked")
        Map<String, Object> map = (Map<String, Object>) value;
        return map;
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static long number(Map<String, Object> object, String name) {
        return object.get(name) instanceof Number number ? number.longValue() : 0;
    }

    static String text(Map<String, Object> object, String name) {
        return object.get(name) instanceof String value ? value : "";
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Map<String, Object> object, String name) {
        return object.get(name) instanceof List ? (List<Object>) object.get(name) : List.of();
    }

    private void blanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        blanks();
        char next = text.charAt(at);
        if (next == '{') {
            return objectValue();
        }
        if (next == '[') {
            return arrayValue();
        }
        if (next == '"') {
            return stringValue();
        }
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        blanks();
        while (text.charAt(at) != '}') {
            blanks();
            String name = stringValue();
            blanks();
            at++;
            map.put(name, value());
            blanks();
            if (text.charAt(at) == ',') {
                at++;
                blanks();
            }
        }
        at++;
        return map;
    }

    private List<Object> arrayValue() {
        List<Object> list = new ArrayList<>();
        at++;
        blanks();
        while (text.charAt(at) != ']') {
            list.add(value());
            blanks();
            if (text.charAt(at) == ',') {
                at++;
                blanks();
            }
        }
        at++;
        return list;
    }

    private String stringValue() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next != '\\') {
                out.append(next);
                continue;
            }
            char escape = text.charAt(at++);
            switch (escape) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escape);
            }
        }
        at++;
        return out.toString();
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            map.forEach((name, item) -> {
                out.append(out.charAt(out.length() - 1) == '{' ? "" : ",");
                write(name, out);
                out.append(':');
                write(item, out);
            });
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            for (int i = 0; i < list.size(); i++) {
                out.append(i == 0 ? "" : ",");
                write(list.get(i), out);
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char next : string.toCharArray()) {
                if (next == '"' || next == '\\') {
                    out.append('\\').append(next);
                } else if (next < ' ') {
                    out.append(String.format("\\u%04x", (int) next));
                } else {
                    out.append(next);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
