package quincespar.faultbench.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import quincespar.faultbench.check.Event;
import quincespar.faultbench.check.History;
import quincespar.faultbench.check.History.Request;

/** What a failed run leaves for its diagnosis, as text. Times are milliseconds since the start of the run. */
public final class FailureText {
    private static final int MAX_LOG_LINES = 80;
    private static final String LOG_PREFIX = "log-";

    private FailureText() { }

    /** The violations, the requests without an answer, all events, and the last lines of each process's log below the folder. */
    public static String of(History history, List<String> problems, Path folder) throws IOException {
        StringBuilder out = new StringBuilder("Violations\n");
        problems.forEach(problem -> out.append(problem).append('\n'));
        out.append("\nRequests without an answer\n").append(unansweredRequests(history));
        out.append("\nEvents\n");
        history.events().forEach(event -> out.append(line(history, event)).append('\n'));
        for (Path log : logs(folder)) {
            out.append("\nThe end of ").append(folder.relativize(log)).append('\n');
            List<String> lines = Files.readAllLines(log);
            lines.stream().skip(Math.max(0, lines.size() - MAX_LOG_LINES)).forEach(line -> out.append(line).append('\n'));
        }
        return out.toString();
    }

    /** One line for each request that got no answer, with the times of its connection, its sending and its end. */
    public static String unansweredRequests(History history) {
        return history.requests().stream().filter(request -> request.answer().isEmpty())
                .map(request -> line(history, request) + '\n').collect(Collectors.joining());
    }

    private static String line(History history, Request request) {
        return "%s %s%s connected %.1f sent %.1f ended %.1f".formatted(request.node(), request.load() ? "load " : "lookup ",
                request.txn(), millis(history, request.connectedAt()), millis(history, request.sentAt()),
                millis(history, request.endedAt()));
    }

    private static String line(History history, Event event) {
        return "%9.1f %s %s %s".formatted(millis(history, event.at()), event.subject(), event.kind(), event.text());
    }

    private static double millis(History history, long nanos) {
        return (nanos - history.startNanos()) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }

    private static List<Path> logs(Path folder) throws IOException {
        try (Stream<Path> all = Files.find(folder, 2, (path, attributes) -> attributes.isRegularFile()
                && path.getFileName().toString().startsWith(LOG_PREFIX))) {
            return all.sorted().toList();
        }
    }
}
