import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of one run: a line for each thing that was sent, answered or run, with the milliseconds since the start. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() { }

    static void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    static double now() {
        return (System.nanoTime() - START) / 1e6;
    }

    static synchronized void line(String text) {
        if (out != null) {
            out.printf("%10.1f %s%n", now(), text);
        }
    }

    /** A line that is also printed on standard output. */
    static synchronized void say(String text) {
        line(text);
        System.out.println(text);
    }

    static synchronized void close() {
        if (out != null) {
            out.close();
            out = null;
        }
    }
}
