package quincespar.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;

/**
 * Finds the group of tables that a statement reads or writes: the number after the underscore in its schema's
 * name. Strings and comments are skipped, and so is the schema {@code staging}. It is a scan, not a parser.
 */
public final class StatementScanner {
    private static final Set<String> BEFORE_TABLE = Set.of("from", "join", "into", "update", "table", "using");

    private final String s;
    private int at;
    private int behindTable = -1;
    private int anywhere = -1;

    private StatementScanner(String s) {
        this.s = s;
    }

    /** The group of tables, or 0 where none is named. Bytes of UTF-8 beyond ASCII count as letters. */
    public static int tableGroup(byte[] statement) {
        return new StatementScanner(new String(statement, StandardCharsets.ISO_8859_1)).scan();
    }

    private int scan() {
        boolean tableNext = false;
        while (at < s.length() && behindTable < 0) { // a group behind such a word is final
            char c = s.charAt(at);
            if (skipped(c)) {
                continue;
            }
            if (c == '"' || c == '`' || c == '[' || letter(c)) {
                boolean plain = letter(c);
                String word = plain ? word() : quoted(c == '[' ? ']' : c);
                if (plain && BEFORE_TABLE.contains(word.toLowerCase(Locale.ROOT)) && !dotNext()) {
                    tableNext = true;
                } else {
                    name(word, tableNext);
                    tableNext = false;
                }
            } else if (digit(c)) {
                word();
            } else {
                at++;
            }
        }
        return behindTable >= 0 ? behindTable : Math.max(0, anywhere);
    }

    /** Steps over what can hold no name: white space, a string, a comment. */
    private boolean skipped(char c) {
        if (c <= ' ') {
            at++;
        } else if (c == '\'') {
            quoted('\'');
        } else if (s.startsWith("--", at) || c == '#') {
            at = end(s.indexOf('\n', at), 1);
        } else if (s.startsWith("/*", at)) {
            at = end(s.indexOf("*/", at + 2), 2);
        } else {
            return false;
        }
        return true;
    }

    private int end(int found, int width) {
        return found < 0 ? s.length() : found + width;
    }

    private String word() {
        int from = at;
        while (at < s.length() && (letter(s.charAt(at)) || digit(s.charAt(at)) || s.charAt(at) == '$')) {
            at++;
        }
        return s.substring(from, at);
    }

    private static boolean letter(char c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80;
    }

    private static boolean digit(char c) {
        return c >= '0' && c <= '9';
    }

    /** What stands between quotes; a doubled one is part of it. */
    private String quoted(char quote) {
        StringBuilder out = new StringBuilder();
        for (at++; at < s.length(); at++) {
            if (s.charAt(at) == quote) {
                if (at + 1 >= s.length() || s.charAt(at + 1) != quote) {
                    at++;
                    return out.toString();
                }
                at++;
            }
            out.append(s.charAt(at));
        }
        return out.toString();
    }

    private boolean dotNext() {
        int before = at;
        while (at < s.length() && skipped(s.charAt(at))) {
            continue;
        }
        boolean dot = at < s.length() && s.charAt(at) == '.';
        at = before;
        return dot;
    }

    private void name(String word, boolean asTable) {
        if (!dotNext()) {
            return;
        }
        int group = number(word);
        if (group >= 0) {
            behindTable = asTable ? group : behindTable;
            anywhere = anywhere < 0 ? group : anywhere;
        }
    }

    private static int number(String schema) {
        int line = schema.lastIndexOf('_');
        if (line < 0 || line + 1 == schema.length() || schema.length() - line > 9) {
            return -1;
        }
        for (int i = line + 1; i < schema.length(); i++) {
            if (!digit(schema.charAt(i))) {
                return -1;
            }
        }
        return Integer.parseInt(schema, line + 1, schema.length(), 10);
    }
}
