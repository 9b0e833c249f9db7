package quincespar.program;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;

/**
 * Makes system calls of a started process fail, by rules that begin and end while it runs: a small preloaded library,
 * compiled by the machine's C compiler, shares a mapped file of rules with the test.
 */
final class SystemCallFaults {
    /** The calls that can fail; their places are the library's numbers. */
    enum Call { NONE, SOCKET, CONNECT, ACCEPT, READ, WRITE, POLL, EPOLL_WAIT, OPEN, CLOCK }

    /** Error numbers of Linux. */
    enum Errno {
        EINTR(4), EIO(5), EAGAIN(11), ENFILE(23), EADDRNOTAVAIL(99), ENETUNREACH(101), ENOBUFS(105), ETIMEDOUT(110),
        EHOSTUNREACH(113);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    /** The layout of the library's struct rule. */
    private static final int RULES = 16, NAME_BYTES = 64, RULE_BYTES = 32 + NAME_BYTES;
    private static final int ERROR_AT = 4, PERMILLE_AT = 8, PORT_AT = 12, MOST_BYTES_AT = 16, RANDOM_AT = 20, STRUCK_AT = 24,
            NAME_AT = 32;
    private static final int ALWAYS = 1000;
    private static final long COMPILE_S = 60;

    private final MappedByteBuffer rules;
    private final Path library;
    private final Path file;

    private SystemCallFaults(MappedByteBuffer rules, Path library, Path file) {
        this.rules = rules;
        this.library = library;
        this.file = file;
    }

    /** Compiles the library and makes an empty set of rules, both in this folder. */
    static SystemCallFaults in(Path folder) throws IOException, InterruptedException {
        Path library = folder.resolve("system_call_faults.so");
        Process cc = new ProcessBuilder("cc", "-shared", "-fPIC", "-O1", "-Wall", "-Wextra", "-Werror", "-o", library.toString(),
                Path.of("src/test/native/system_call_faults.c").toAbsolutePath().toString(), "-ldl").inheritIO().start();
        if (!cc.waitFor(COMPILE_S, TimeUnit.SECONDS) || cc.exitValue() != 0) {
            throw new IOException("the library for failing system calls does not compile; a C compiler (gcc) is needed");
        }
        Path file = folder.resolve("system-call-faults");
        try (FileChannel c = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer rules = c.map(FileChannel.MapMode.READ_WRITE, 0, (long) RULES * RULE_BYTES);
            rules.order(ByteOrder.nativeOrder());
            return new SystemCallFaults(rules, library, file);
        }
    }

    /** What comes before a command line, so that its process obeys the rules. */
    String prefix() {
        return "export SYSTEM_CALL_FAULTS=" + file + " LD_PRELOAD=" + library + "; ";
    }

    /** A fault that has begun. */
    final class Fault {
        private final int at;

        private Fault(int at) {
            this.at = at;
        }

        /** How many calls it has failed. */
        long struck() {
            return rules.getLong(at + STRUCK_AT);
        }

        /** Waits until it has failed so many calls. */
        void awaitStruck(long times) {
            while (struck() < times) {
                ScriptedPeers.spin();
            }
        }

        /** It fails no more calls. */
        void end() {
            rules.putInt(at, Call.NONE.ordinal());
        }
    }

    /** Each such call on a socket with that local or remote port, 0 for any, fails from now on. */
    Fault fail(Call call, Errno error, int port) {
        return begin(call, error.number, ALWAYS, port, 0, 1, "");
    }

    /** So many of a thousand such calls fail, chosen by the seed. */
    Fault failSome(Call call, Errno error, int port, int permille, int seed) {
        return begin(call, error.number, permille, port, 0, seed, "");
    }

    /** Reads or writes take so many bytes at the most. */
    Fault shorten(Call call, int mostBytes, int port) {
        return begin(call, 0, ALWAYS, port, mostBytes, 1, "");
    }

    /** Opening files whose name holds this text fails. */
    Fault failOpen(Errno error, String name) {
        return begin(Call.OPEN, error.number, ALWAYS, 0, 0, 1, name);
    }

    /** The wall clock is off by so many seconds. */
    Fault stepClock(int seconds) {
        return begin(Call.CLOCK, seconds, ALWAYS, 0, 0, 1, "");
    }

    private Fault begin(Call call, int error, int permille, int port, int mostBytes, int seed, String name) {
        int at = 0;
        while (rules.getInt(at) != Call.NONE.ordinal()) {
            at += RULE_BYTES; // more faults at a time than there are places is an error of the test
        }
        rules.putLong(at + STRUCK_AT, 0).putInt(at + ERROR_AT, error).putInt(at + PERMILLE_AT, permille).putInt(at + PORT_AT, port)
                .putInt(at + MOST_BYTES_AT, mostBytes).putInt(at + RANDOM_AT, seed);
        ByteBuffer text = rules.duplicate();
        text.position(at + NAME_AT);
        text.put((name + "\0").getBytes(StandardCharsets.US_ASCII));
        rules.putInt(at, call.ordinal());
        return new Fault(at);
    }
}
