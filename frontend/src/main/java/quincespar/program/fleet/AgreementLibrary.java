package quincespar.program.fleet;

import java.io.IOException;
import java.net.MalformedURLException;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ServiceLoader;
import quincespar.fleet.Agreement;

/**
 * The jar with the agreement's library, opened only where there is a fleet: a front end without one has none of its classes
 * on its path, and is as small and as quick to start as before there was such a jar.
 */
final class AgreementLibrary {
    private static final String NAME = "quincespar-agreement.jar";

    private AgreementLibrary() { }

    /** Opens it; throws {@link IOException} in one plain line where it can't be had. */
    static Agreement.Provider open(Path given) throws IOException {
        Path jar = given == null ? beside() : given;
        if (!Files.isReadable(jar)) {
            throw new IOException("no agreement library at " + jar + "; 'fleet library' names another place");
        }
        try {
            URLClassLoader loader = new URLClassLoader("agreement", new URL[] {jar.toUri().toURL()},
                    AgreementLibrary.class.getClassLoader()); // open for as long as the process lives
            return ServiceLoader.load(Agreement.Provider.class, loader).findFirst().orElseThrow(
                    () -> new IOException(jar + " holds no agreement library"));
        } catch (MalformedURLException e) {
            throw new IOException("no place for a library: " + jar, e);
        }
    }

    private static Path beside() throws IOException {
        try {
            return Path.of(AgreementLibrary.class.getProtectionDomain().getCodeSource().getLocation().toURI())
                    .resolveSibling(NAME);
        } catch (URISyntaxException e) {
            throw new IOException("the program's own place is not known: " + e.getMessage(), e);
        }
    }
}
