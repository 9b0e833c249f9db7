package quincespar.capture;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;

/** Identifies a version of the decision module by its compiled classes. */
public final class ModuleDigest {
    private ModuleDigest() { }

    /** Sixteen hex digits of a digest over the class files of these classes and of all classes nested in them. */
    public static String of(Class<?>... outerClasses) {
        MessageDigest digest = Digests.sha256();
        List<Class<?>> classes = Arrays.stream(outerClasses).flatMap(c -> Arrays.stream(c.getNestMembers()))
                .sorted(Comparator.comparing(Class::getName)).toList();
        for (Class<?> c : classes) {
            String file = c.getName().substring(c.getName().lastIndexOf('.') + 1) + ".class";
            try (InputStream in = c.getResourceAsStream(file)) {
                if (in == null) {
                    throw new IllegalStateException("no class file of " + c);
                }
                digest.update(in.readAllBytes());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return HexFormat.of().formatHex(digest.digest(), 0, 8);
    }
}
