package quincespar.capture;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;

/** Tells one text of the module from another, by what was compiled from it. */
public final class ModuleDigest {
    private ModuleDigest() { }

    /** Sixteen hex digits over the classes that decide and remember, with all that are nested in them. */
    public static String of(Class<?>... outer) {
        MessageDigest all = Digests.sha256();
        List<Class<?>> classes = Arrays.stream(outer).flatMap(c -> Arrays.stream(c.getNestMembers()))
                .sorted(Comparator.comparing(Class::getName)).toList();
        for (Class<?> c : classes) {
            String file = c.getName().substring(c.getName().lastIndexOf('.') + 1) + ".class";
            try (InputStream in = c.getResourceAsStream(file)) {
                if (in == null) {
                    throw new IllegalStateException("no text of " + c);
                }
                all.update(in.readAllBytes());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return HexFormat.of().formatHex(all.digest(), 0, 8);
    }
}
