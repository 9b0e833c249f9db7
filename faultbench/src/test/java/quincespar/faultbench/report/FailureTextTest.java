package quincespar.faultbench.report;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import quincespar.faultbench.check.History;
import quincespar.faultbench.check.History.Request;

class FailureTextTest {
    @TempDir
    private Path folder;

    /** Guards against failures of a run that can't be traced, because its events and logs are gone. */
    @Test
    void namesUnansweredRequestsEventsAndTheEndOfEachLog() throws IOException {
        History history = new History();
        history.add("n2", "killed", "");
        history.add(request(history, "000000020000000a", ""));
        history.add(request(history, "000000020000000b", "served"));
        Path log = Files.createDirectories(folder.resolve("n2")).resolve("log-1");
        Files.writeString(log, IntStream.rangeClosed(1, 500).mapToObj(i -> "line " + i + "\n").collect(Collectors.joining()));
        String text = FailureText.of(history, List.of("one request left"), folder);
        assertThat(text).contains("one request left").contains("n2 killed")
                .contains("n2 lookup 000000020000000a connected 1.0 sent 2.0 ended 5.0").doesNotContain("000000020000000b")
                .contains("The end of n2/log-1\n").contains("line 500\n").doesNotContain("line 1\n");
    }

    private static Request request(History history, String txn, String answer) {
        return new Request("n2", txn, at(history, 1), at(history, 2), at(history, 5), answer, false);
    }

    private static long at(History history, int ms) {
        return history.startNanos() + TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
