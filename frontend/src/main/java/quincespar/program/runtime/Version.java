package quincespar.program.runtime;

/** The program's version, from the manifest of its jar. */
public final class Version {
    private Version() { }

    /** The program's name and version; "(unpackaged)" in place of the version if it does not run from a jar. */
    public static String text() {
        String version = Version.class.getPackage().getImplementationVersion();
        return "quincespar " + (version == null ? "(unpackaged)" : version);
    }
}
