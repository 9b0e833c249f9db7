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
 * Injects failures of system calls into a started process, by rules that begin and end while it runs: a small preloaded library,
 * compiled with the C compiler of the machine, shares a memory-mapped file of rules with the test.
 */
final class SystemCallFaults {
    /** The calls that can fail; the ordinals are the numbers of the library's {@code enum call}. */
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
    private static final int ERROR_AT = 4, PERMILLE_AT = 8, PORT_AT = 12, MAX_BYTES_AT = 16, RANDOM_AT = 20, STRUCK_AT = 24,
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

    /** Compiles the library and creates an empty set of rules in this folder. */
    static SystemCallFaults in(Path folder) throws IOException, InterruptedException {
        Path library = folder.resolve("system_call_faults.so");
        Process cc = new ProcessBuilder("cc", "-shared", "-fPIC", "-O1", "-Wall", "-Wextra", "-Werror", "-o", library.toString(),
                Path.of("src/test/native/system_call_faults.c").toAbsolutePath().toString(), "-ldl").inheritIO().start();
        if (!cc.waitFor(COMPILE_S, TimeUnit.SECONDS) || cc.exitValue() != 0) {
            throw new IOException("the library for failing system calls does not compile; a C compiler (gcc) is needed");
        }
        Path file = folder.resolve("system-call-faults");
        try (FileChannel c = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE)) {
            MappedByteBuffer rules = c.map(FileChannel.MapMode.READ_WRITE, 0, (long) RULES * RULE_BYTES);
            rules.order(ByteOrder.nativeOrder());
            return new SystemCallFaults(rules, library, file);
        }
    }

    /** The shell commands before a command line that make its process load the library with these rules. */
    String prefix() {
        return "export SYSTEM_CALL_FAULTS=" + file + " LD_PRELOAD=" + library + "; ";
    }

    /** An active fault. */
    final class Fault {
        private final int at;

        private Fault(int at) {
            this.at = at;
        }

        /** The number of calls that it has made fail. */
        long struck() {
            return rules.getLong(at + STRUCK_AT);
        }

        /** Waits until it has made this number of calls fail. */
        void awaitStruck(long times) {
            while (struck() < times) {
                ScriptedPeers.spin();
            }
        }

        /** Ends the fault. */
        void end() {
            rules.putInt(at, Call.NONE.ordinal());
        }
    }

    /** Each such call on a socket with this local or remote port (0 for any) fails from now on. */
    Fault fail(Call call, Errno error, int port) {
        return begin(call, error.number, ALWAYS, port, 0, 1, "");
    }

    /** This number of a thousand such calls fail, chosen by the seed. */
    Fault failSome(Call call, Errno error, int port, int permille, int seed) {
        return begin(call, error.number, permille, port, 0, seed, "");
    }

    /** Reads or writes transfer at most this number of bytes. */
    Fault shorten(Call call, int maxBytes, int port) {
        return begin(call, 0, ALWAYS, port, maxBytes, 1, "");
    }

    /** Opening files whose name contains this text fails. */
    Fault failOpen(Errno error, String name) {
        return begin(Call.OPEN, error.number, ALWAYS, 0, 0, 1, name);
    }

    /** The wall clock is off by this number of seconds. */
    Fault stepClock(int seconds) {
        return begin(Call.CLOCK, seconds, ALWAYS, 0, 0, 1, "");
    }

    private Fault begin(Call call, int error, int permille, int port, int maxBytes, int seed, String name) {
        int at = 0;
        while (rules.getInt(at) != Call.NONE.ordinal()) {
            at += RULE_BYTES; // beyond the last rule, with too many faults at a time, this throws
        }
        rules.putLong(at + STRUCK_AT, 0).putInt(at + ERROR_AT, error).putInt(at + PERMILLE_AT, permille)
                .putInt(at + PORT_AT, port).putInt(at + MAX_BYTES_AT, maxBytes).putInt(at + RANDOM_AT, seed);
        ByteBuffer text = rules.duplicate();
        text.position(at + NAME_AT);
        text.put((name + "\0").getBytes(StandardCharsets.US_ASCII));
        rules.putInt(at, call.ordinal());
        return new Fault(at);
    }
}
