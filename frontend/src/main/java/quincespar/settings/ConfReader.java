package quincespar.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Parses and checks an operators' settings file; use one instance per file. */
public final class ConfReader {
    private record Problem(int line, int column, String message) { }

    /** Largest edit distance at which a known word is suggested for an unknown one. */
    private static final int MAX_SUGGESTION_DISTANCE = 3;

    private final String file;
    private final List<Problem> problems = new ArrayList<>();
    private final Map<Keyword, String> values = new EnumMap<>(Keyword.class);
    private final Map<Keyword, Integer> settingLines = new EnumMap<>(Keyword.class);
    private final Map<String, Integer> blockLines = new HashMap<>();

    private ConfReader(String file) {
        this.file = file;
    }

    /** Parses the text of a file, or throws with all its errors; {@code file} is its name in messages. */
    public static Settings read(String file, String text) throws ConfException {
        return new ConfReader(file).read(text);
    }

    private Settings read(String text) throws ConfException {
        BaseErrorListener listener = new BaseErrorListener() {
            @Override
            public void syntaxError(Recognizer<?, ?> r, Object symbol, int line, int column, String message,
                    RecognitionException e) {
                problem(line, column, symbol instanceof Token t ? unexpected(t) : message);
            }
        };
        ConfLexer lexer = new ConfLexer(CharStreams.fromString(text, file));
        lexer.removeErrorListeners();
        lexer.addErrorListener(listener);
        ConfParser parser = new ConfParser(new CommonTokenStream(lexer));
        parser.removeErrorListeners();
        parser.addErrorListener(listener);
        parser.file().line().forEach(this::topLevelLine);
        if (!problems.isEmpty()) {
            problems.sort(Comparator.comparingInt(Problem::line).thenComparingInt(Problem::column));
            throw new ConfException(problems.stream().map(p -> file + ":" + p.line() + ":" + (p.column() + 1) + ": "
                    + p.message()).distinct().toList());
        }
        return new Settings(values);
    }

    private static String unexpected(Token t) {
        return switch (t.getType()) {
            case Token.EOF -> "unexpected end of file in a block; '}' is missing";
            case ConfParser.CLOSE -> "'}' without an open block";
            case ConfParser.OPEN -> "'{' must end the line that begins a block";
            case ConfParser.NEWLINE -> "unexpected end of line; expected a value or '{'";
            default -> "unexpected '" + t.getText() + "'; expected a keyword with its value, or '}', on a line of its own";
        };
    }

    private void problem(Token at, String message) {
        problem(at.getLine(), at.getCharPositionInLine(), message);
    }

    private void problem(int line, int column, String message) {
        problems.add(new Problem(line, column, message));
    }

    private void topLevelLine(ConfParser.LineContext line) {
        if (line.setting() != null && line.setting().WORD() != null) {
            Token token = line.setting().WORD().getSymbol();
            if (Keyword.blocks().contains(token.getText())) {
                problem(token, "'" + token.getText() + "' is a block; write '" + token.getText()
                        + " {', its settings and '}' on separate lines");
            } else if (Arrays.stream(Keyword.values()).anyMatch(k -> k.key.equals(token.getText()))) {
                problem(token, "'" + token.getText() + "' must be inside its block, " + Arrays.stream(Keyword.values())
                        .filter(k -> k.key.equals(token.getText())).map(k -> "'" + k.block + "'")
                        .collect(Collectors.joining(" or ")));
            } else {
                problem(token, "unknown keyword '" + token.getText() + "' outside a block" + suggestion(token.getText(),
                        Keyword.blocks()));
            }
        } else if (line.block() != null && line.block().WORD() != null) {
            block(line.block());
        }
    }

    private void block(ConfParser.BlockContext b) {
        Token token = b.WORD().getSymbol();
        if (!Keyword.blocks().contains(token.getText())) {
            problem(token, "unknown block '" + token.getText() + "'" + suggestion(token.getText(), Keyword.blocks()));
            return;
        }
        if (!b.value().isEmpty()) {
            problem(b.value(0).getStart(), "block '" + token.getText() + "' takes no values");
        }
        Integer earlierLine = blockLines.putIfAbsent(token.getText(), token.getLine());
        if (earlierLine != null) {
            problem(token, "block '" + token.getText() + "' is already defined in line " + earlierLine);
        }
        for (ConfParser.LineContext l : b.line()) {
            if (l.block() != null && l.block().WORD() != null) {
                problem(l.block().WORD().getSymbol(), "nested block in block '" + token.getText() + "'");
            } else if (l.setting() != null && l.setting().WORD() != null) {
                setting(token.getText(), l.setting());
            }
        }
    }

    private void setting(String block, ConfParser.SettingContext s) {
        Token token = s.WORD().getSymbol();
        Optional<Keyword> found = Keyword.in(block).stream().filter(k -> k.key.equals(token.getText())).findFirst();
        if (found.isEmpty()) {
            problem(token, "unknown keyword '" + token.getText() + "' in block '" + block + "'"
                    + suggestion(token.getText(), Keyword.in(block).stream().map(k -> k.key).toList()));
            return;
        }
        Keyword k = found.get();
        Integer earlierLine = settingLines.putIfAbsent(k, token.getLine());
        if (earlierLine != null) {
            problem(token, "'" + k.key + "' is already set in line " + earlierLine);
        } else if (s.value().size() != 1) {
            problem(s.value().isEmpty() ? token : s.value(1).getStart(),
                    "'" + k.key + "' takes one value, " + k.expected() + "; got " + s.value().size() + " values");
        } else {
            value(k, s.value(0));
        }
    }

    private void value(Keyword k, ConfParser.ValueContext v) {
        String text = v.STRING() == null ? v.getText() : v.getText().substring(1, v.getText().length() - 1)
                .replaceAll("\\\\(.)", "$1");
        if (k.type == Keyword.Type.CHOICE) {
            if (!k.choices.contains(text)) {
                problem(v.getStart(), "'" + k.key + "' takes " + k.expected() + ", not '" + text + "'"
                        + suggestion(text, k.choices));
            }
        } else if (k.isQuantity()) {
            double n = Quantity.read(k.type, text);
            if (Double.isNaN(n)) {
                problem(v.getStart(), "'" + k.key + "' takes " + k.expected() + ", not '" + text + "'");
            } else if (n < k.min || n > k.max) {
                problem(v.getStart(), "'" + k.key + "' is " + text + "; it must be in the range " + k.range());
            }
        }
        values.put(k, text);
    }

    /** The end of a message on an unknown word: the closest known word, or all known words. */
    private static String suggestion(String token, Collection<String> known) {
        return known.stream().min(Comparator.comparingInt(k -> distance(token, k)))
                .filter(k -> distance(token, k) <= MAX_SUGGESTION_DISTANCE).map(k -> "; did you mean '" + k + "'?")
                .orElse("; expected one of " + String.join(", ", known));
    }

    /** Levenshtein distance between two words. */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int above = row[j];
                int substitution = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                row[j] = Math.min(Math.min(above, row[j - 1]) + 1, diagonal + substitution);
                diagonal = above;
            }
        }
        return row[b.length()];
    }
}
