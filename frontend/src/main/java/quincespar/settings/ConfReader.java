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

/** Reads the text of an operators' file; one for each file. */
public final class ConfReader {
    private record Problem(int line, int column, String what) { }

    /** A keyword further off than this is not what was meant. */
    private static final int NEAR = 3;

    private final String file;
    private final List<Problem> problems = new ArrayList<>();
    private final Map<Keyword, String> set = new EnumMap<>(Keyword.class);
    private final Map<Keyword, Integer> setAt = new EnumMap<>(Keyword.class);
    private final Map<String, Integer> blockAt = new HashMap<>();

    private ConfReader(String file) {
        this.file = file;
    }

    /** Reads a text whole, or throws with all that is wrong with it; {@code file} is its name in what is said. */
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
        parser.file().line().forEach(this::topLine);
        if (!problems.isEmpty()) {
            problems.sort(Comparator.comparingInt(Problem::line).thenComparingInt(Problem::column));
            throw new ConfException(problems.stream().map(p -> file + ":" + p.line() + ":" + (p.column() + 1) + ": "
                    + p.what()).distinct().toList());
        }
        return new Settings(set);
    }

    private static String unexpected(Token t) {
        return switch (t.getType()) {
            case Token.EOF -> "the file ends inside a block; '}' is missing";
            case ConfParser.CLOSE -> "'}' without a block that is open";
            case ConfParser.OPEN -> "'{' must be the last on the line of a block's keyword";
            case ConfParser.NEWLINE -> "the line ends where a value or '{' was expected";
            default -> "unexpected '" + t.getText() + "'; expected a keyword with its values, or '}', a line each";
        };
    }

    private void problem(Token at, String what) {
        problem(at.getLine(), at.getCharPositionInLine(), what);
    }

    private void problem(int line, int column, String what) {
        problems.add(new Problem(line, column, what));
    }

    private void topLine(ConfParser.LineContext line) {
        if (line.setting() != null && line.setting().WORD() != null) {
            Token word = line.setting().WORD().getSymbol();
            if (Keyword.blocks().contains(word.getText())) {
                problem(word, "'" + word.getText() + "' is a block: '" + word.getText() + " {', its settings, '}'");
            } else if (Arrays.stream(Keyword.values()).anyMatch(k -> k.key.equals(word.getText()))) {
                problem(word, "'" + word.getText() + "' stands outside its block, " + Arrays.stream(Keyword.values())
                        .filter(k -> k.key.equals(word.getText())).map(k -> "'" + k.block + "'")
                        .collect(Collectors.joining(" or ")));
            } else {
                problem(word, "unknown keyword '" + word.getText() + "' outside a block" + nearest(word.getText(),
                        Keyword.blocks()));
            }
        } else if (line.block() != null && line.block().WORD() != null) {
            block(line.block());
        }
    }

    private void block(ConfParser.BlockContext b) {
        Token word = b.WORD().getSymbol();
        if (!Keyword.blocks().contains(word.getText())) {
            problem(word, "unknown block '" + word.getText() + "'" + nearest(word.getText(), Keyword.blocks()));
            return;
        }
        if (!b.value().isEmpty()) {
            problem(b.value(0).getStart(), "block '" + word.getText() + "' takes no values");
        }
        Integer before = blockAt.putIfAbsent(word.getText(), word.getLine());
        if (before != null) {
            problem(word, "block '" + word.getText() + "' stands in line " + before + " already");
        }
        for (ConfParser.LineContext l : b.line()) {
            if (l.block() != null && l.block().WORD() != null) {
                problem(l.block().WORD().getSymbol(), "a block within block '" + word.getText() + "'");
            } else if (l.setting() != null && l.setting().WORD() != null) {
                setting(word.getText(), l.setting());
            }
        }
    }

    private void setting(String block, ConfParser.SettingContext s) {
        Token word = s.WORD().getSymbol();
        Optional<Keyword> found = Keyword.in(block).stream().filter(k -> k.key.equals(word.getText())).findFirst();
        if (found.isEmpty()) {
            problem(word, "unknown keyword '" + word.getText() + "' in block '" + block + "'"
                    + nearest(word.getText(), Keyword.in(block).stream().map(k -> k.key).toList()));
            return;
        }
        Keyword k = found.get();
        Integer before = setAt.putIfAbsent(k, word.getLine());
        if (before != null) {
            problem(word, "'" + k.key + "' is set in line " + before + " already");
        } else if (s.value().size() != 1) {
            problem(s.value().isEmpty() ? word : s.value(1).getStart(),
                    "'" + k.key + "' takes one value, " + k.expected() + "; " + s.value().size() + " are given");
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
                        + nearest(text, k.choices));
            }
        } else if (k.isQuantity()) {
            double n = Quantity.read(k.type, text);
            if (Double.isNaN(n)) {
                problem(v.getStart(), "'" + k.key + "' takes " + k.expected() + ", not '" + text + "'");
            } else if (n < k.min || n > k.max) {
                problem(v.getStart(), "'" + k.key + "' is " + text + "; it must lie in " + k.range());
            }
        }
        set.put(k, text);
    }

    private static String nearest(String word, Collection<String> known) {
        return known.stream().min(Comparator.comparingInt(k -> distance(word, k)))
                .filter(k -> distance(word, k) <= NEAR).map(k -> "; did you mean '" + k + "'?")
                .orElse("; known are " + String.join(", ", known));
    }

    /** Edits from one word to the other (Levenshtein). */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int above = row[j];
                int change = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                row[j] = Math.min(Math.min(above, row[j - 1]) + 1, corner + change);
                corner = above;
            }
        }
        return row[b.length()];
    }
}
