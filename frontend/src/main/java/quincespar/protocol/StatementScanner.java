package quincespar.protocol;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;

/**
 * Finds the table group that a statement reads or writes: the number after the last underscore in a schema's name, as in
 * {@code sales_17.orders}. Skips strings, comments and schemas without a number, such as {@code staging}. It scans tokens
 * and does not parse the statement.
 */
public final class StatementScanner {
    private static final Set<String> KEYWORDS_BEFORE_TABLE = Set.of("from", "join", "into", "update", "table", "using");

    private final String statement;
    private int position;
    private int groupAfterKeyword = -1;
    private int firstGroup = -1;

    private StatementScanner(String statement) {
        this.statement = statement;
    }

    /** The number of the table group, or 0 if the statement names none. Non-ASCII bytes of UTF-8 count as letters. */
    public static int tableGroup(byte[] statement) {
        return new StatementScanner(new String(statement, StandardCharsets.ISO_8859_1)).scan();
    }

    private int scan() {
        boolean tableExpected = false;
        while (position < statement.length() && groupAfterKeyword < 0) { // a group after a keyword takes precedence
            char c = statement.charAt(position);
            if (skipNonToken(c)) {
                continue;
            }
            if (c == '"' || c == '`' || c == '[' || isLetter(c)) {
                boolean unquoted = isLetter(c);
                String word = unquoted ? readWord() : readQuoted(c == '[' ? ']' : c);
                if (unquoted && KEYWORDS_BEFORE_TABLE.contains(word.toLowerCase(Locale.ROOT)) && !nextIsDot()) {
                    tableExpected = true;
                } else {
                    recordGroup(word, tableExpected);
                    tableExpected = false;
                }
            } else if (isDigit(c)) {
                readWord();
            } else {
                position++;
            }
        }
        return groupAfterKeyword >= 0 ? groupAfterKeyword : Math.max(0, firstGroup);
    }

    /** Skips white space, a string or a comment at the current position; false if there is none. */
    private boolean skipNonToken(char c) {
        if (c <= ' ') {
            position++;
        } else if (c == '\'') {
            readQuoted('\'');
        } else if (statement.startsWith("--", position) || c == '#') {
            position = after(statement.indexOf('\n', position), 1);
        } else if (statement.startsWith("/*", position)) {
            position = after(statement.indexOf("*/", position + 2), 2);
        } else {
            return false;
        }
        return true;
    }

    /** The position after a delimiter found at {@code found}, or the end of the statement if it was not found. */
    private int after(int found, int width) {
        return found < 0 ? statement.length() : found + width;
    }

    private String readWord() {
        int from = position;
        while (position < statement.length() && isWordCharacter(statement.charAt(position))) {
            position++;
        }
        return statement.substring(from, position);
    }

    private static boolean isWordCharacter(char c) {
        return isLetter(c) || isDigit(c) || c == '$';
    }

    private static boolean isLetter(char c) {
        return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80;
    }

    private static boolean isDigit(char c) {
        return c >= '0' && c <= '9';
    }

    /** Reads a quoted string without its quotes; a doubled quote stands for one. */
    private String readQuoted(char quote) {
        StringBuilder out = new StringBuilder();
        for (position++; position < statement.length(); position++) {
            if (statement.charAt(position) == quote) {
                if (position + 1 >= statement.length() || statement.charAt(position + 1) != quote) {
                    position++;
                    return out.toString();
                }
                position++;
            }
            out.append(statement.charAt(position));
        }
        return out.toString();
    }

    /** Whether the next token is a dot, without advancing. */
    private boolean nextIsDot() {
        int saved = position;
        while (position < statement.length() && skipNonToken(statement.charAt(position))) {
            continue;
        }
        boolean dot = position < statement.length() && statement.charAt(position) == '.';
        position = saved;
        return dot;
    }

    /** Records the group of a schema, which is a name followed by a dot. */
    private void recordGroup(String word, boolean afterKeyword) {
        if (!nextIsDot()) {
            return;
        }
        int group = groupNumber(word);
        if (group >= 0) {
            groupAfterKeyword = afterKeyword ? group : groupAfterKeyword;
            firstGroup = firstGroup < 0 ? group : firstGroup;
        }
    }

    private static int groupNumber(String schema) {
        int underscore = schema.lastIndexOf('_');
        if (underscore < 0 || underscore + 1 == schema.length() || schema.length() - underscore > 9) {
            return -1;
        }
        for (int i = underscore + 1; i < schema.length(); i++) {
            if (!isDigit(schema.charAt(i))) {
                return -1;
            }
        }
        return Integer.parseInt(schema, underscore + 1, schema.length(), 10);
    }
}
