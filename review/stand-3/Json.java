import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer. Objects are maps, arrays lists, whole numbers longs. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.space();
        if (reader.at != text.length()) throw new IllegalArgumentException("text after the end");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        if (c == '{') return map();
        if (c == '[') return array();
        if (c == '"') return string();
        if (text.startsWith("true", at)) {
            at += 4;
            return true;
        }
        if (text.startsWith("false", at)) {
            at += 5;
            return false;
        }
        if (text.startsWith("null", at)) {
            at += 4;
            return null;
        }
        int start = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) at++;
        String number = text.substring(start, at);
        if (number.matches("-?[0-9]+")) return Long.parseLong(number);
        return Double.parseDouble(number);
    }

    private Map<String, Object> map() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        while (true) {
            space();
            if (text.charAt(at) == '}') break;
            String name = string();
            space();
            if (text.charAt(at++) != ':') throw new IllegalArgumentException("no colon at " + at);
            result.put(name, value());
            space();
            if (text.charAt(at) == ',') at++;
        }
        at++;
        return result;
    }

    private List<Object> array() {
        List<Object> result = new ArrayList<>();
        at++;
        while (true) {
            space();
            if (text.charAt(at) == ']') break;
            result.add(value());
            space();
            if (text.charAt(at) == ',') at++;
        }
        at++;
        return result;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c == '\\') {
                c = text.charAt(at++);
                switch (c) {
                    case 'n' -> c = '\n';
                    case 't' -> c = '\t';
                    case 'r' -> c = '\r';
                    case 'b' -> c = '\b';
                    case 'f' -> c = '\f';
                    case 'u' -> {
                        c = (char) Integer.parseInt(text.substring(at, at + 4), 16);
                        at += 4;
                    }
                    default -> { }
                }
            }
            result.append(c);
        }
        at++;
        return result.toString();
    }

    private void space() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }

    static String quote(String text) {
        StringBuilder result = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') result.append('\\').append(c);
            else if (c < ' ') result.append(String.format("\\u%04x", (int) c));
            else result.append(c);
        }
        return result.append('"').toString();
    }
}
