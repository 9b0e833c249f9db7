package quincespar.faultbench.world;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;

/**
 * Mutations of the program's sources. Removing a guard shows that the checkers find the failure that it prevents. Each mutation
 * replaces pieces of source text and compiles the result; it fails if a piece is missing, so that it can't silently do nothing.
 */
public final class Plant {
    private record Edit(String file, String original, String replacement) { }

    private static final String STATE = "fleet/src/main/java/quincespar/fleet/FleetState.java";
    private static final String PARTICIPATION = "fleet/src/main/java/quincespar/fleet/Participation.java";
    private static final String DISK = "fleet/src/main/java/quincespar/store/FolderDisk.java";
    private static final Map<String, List<Edit>> GUARDS = new LinkedHashMap<>();

    static {
        GUARDS.put("incarnation", List.of(new Edit(STATE, "return found != null && found.incarnation() == incarnation"
                + " && found.standing() != Standing.GONE ? found : null;", "return found;")));
        GUARDS.put("old-folder", List.of(new Edit(STATE, "if (!rejection.isEmpty()) {", "if (false) {"),
                new Edit(PARTICIPATION, "if (!answers.rejection().isEmpty()) {", "if (false) {")));
        // skips the write: data that was never synced to disk is lost with the power
        GUARDS.put("fsync", List.of(new Edit(DISK, "Path next = folder.resolve(name + NEXT);",
                "if (name != null) { return; } Path next = folder.resolve(name + NEXT);")));
    }

    private static final String CLOCK = "frontend/src/main/java/quincespar/program/runtime/Clock.java";

    static { // not a guard: moves the clock one hour ahead while a file exists
        GUARDS.put("clock", List.of(new Edit(CLOCK, "return offset + System.nanoTime() / 1e6;",
                "return offset + System.nanoTime() / 1e6 + (new java.io.File(System.getenv(\"TMPDIR\"), \""
                + Node.CLOCK_AHEAD_FILE + "\").exists() ? 3_600_000 : 0);")));
    }

    static { // not a guard: makes state file writes slow or fail while a file exists
        GUARDS.put("disk", List.of(new Edit(DISK, "Path next = folder.resolve(name + NEXT);",
                "java.io.File now = new java.io.File(System.getenv(\"TMPDIR\"));\n"
                + "if (new java.io.File(now, \"" + Node.DISK_READ_ONLY_FILE + "\").exists()) {"
                + " throw new IOException(\"Read-only file system\"); }\n"
                + "if (new java.io.File(now, \"" + Node.DISK_SLOW_FILE + "\").exists()) {\n"
                + "try { Thread.sleep(5000); } catch (InterruptedException e) { Thread.currentThread().interrupt(); } }\n"
                + "Path next = folder.resolve(name + NEXT);")));
    }

    private Plant() { }

    /** Names accepted by {@code --plant}. */
    public static List<String> guards() {
        return List.copyOf(GUARDS.keySet());
    }

    /** Compiles the mutated sources into a folder to be put on the class path before {@code jar}. */
    public static Path compileWithout(String guard, Path root, Path jar, Path folder) throws IOException {
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        if (compiler == null || !GUARDS.containsKey(guard)) {
            throw new IOException(compiler == null ? "a JDK is required to compile a mutation"
                    : "unknown guard '" + guard + "'; known guards: " + guards());
        }
        Path to = Files.createDirectories(folder.resolve("plant-" + guard));
        for (Edit e : GUARDS.get(guard)) {
            String text = Files.readString(root.resolve(e.file()));
            if (!text.contains(e.original())) {
                throw new IOException("source text of guard '" + guard + "' not found in " + e.file());
            }
            Path source = to.resolve(Path.of(e.file()).getFileName());
            Files.writeString(source, text.replace(e.original(), e.replacement()));
            if (compiler.run(null, null, null, "-nowarn", "-d", to.toString(), "-cp", jar.toString(), source.toString()) != 0) {
                throw new IOException("the program without guard '" + guard + "' does not compile");
            }
        }
        return to;
    }
}
