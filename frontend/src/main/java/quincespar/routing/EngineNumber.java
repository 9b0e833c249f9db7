package quincespar.routing;

/** The decision module's numbers for engines: hashes of their ids (FNV-1a, 48 bits), so that all front ends use the same. */
public final class EngineNumber {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MASK_48_BITS = 0xffffffffffffL;

    private EngineNumber() { }

    /** The number for an id. Ids may collide: {@link EngineRegistry} then takes the next free number. */
    public static long of(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return (hash ^ hash >>> 48) & MASK_48_BITS;
    }
}
