package quincespar.settings;

import java.util.List;

/** A settings file was rejected; lists all its errors, each as {@code file:line:column: problem}. */
public final class ConfException extends Exception {
    private static final long serialVersionUID = 1;

    private final List<String> problems;

    /** Creates an exception with one line per problem. */
    public ConfException(List<String> problems) {
        super(String.join("\n", problems));
        this.problems = List.copyOf(problems);
    }

    /** The problems, one line each, in the order of the file. */
    public List<String> problems() {
        return problems;
    }
}
