package quincespar.routing;

/** The module's numbers for engines: hashes of their ids (FNV-1a, 48 bits), so that all front ends agree on them. */
public final class EngineNumber {
    private static final long BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;
    private static final long BITS = 0xffffffffffffL;

    private EngineNumber() { }

    /** The number of an id; where another engine has it already, the next free one is taken instead. */
    public static long of(String id) {
        long h = BASIS;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * PRIME;
        }
        return (h ^ h >>> 48) & BITS;
    }
}
