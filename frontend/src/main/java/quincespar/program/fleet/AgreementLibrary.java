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
 * Loads the jar with the agreement library. It is opened only if there is a fleet, so that a front end without one loads none
 * of its classes and stays small and quick to start.
 */
final class AgreementLibrary {
    private static final String JAR_NAME = "quincespar-agreement.jar";

    private AgreementLibrary() { }

    /** Opens the library; throws {@link IOException} with a one-line message if it can't be loaded. */
    static Agreement.Provider open(Path configuredJar) throws IOException {
        Path jar = configuredJar == null ? defaultJar() : configuredJar;
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

    private static Path defaultJar() throws IOException {
        try {
            return Path.of(AgreementLibrary.class.getProtectionDomain().getCodeSource().getLocation().toURI())
                    .resolveSibling(JAR_NAME);
        } catch (URISyntaxException e) {
            throw new IOException("the program's own place is not known: " + e.getMessage(), e);
        }
    }
}
