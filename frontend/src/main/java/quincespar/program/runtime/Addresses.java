package quincespar.program.runtime;

import java.net.InetSocketAddress;

/** Addresses as they are written in configurations. */
public final class Addresses {
    private Addresses() { }

    /** An address with numbers only, as names are not looked up; throws {@link IllegalArgumentException} in one line. */
    public static InetSocketAddress parse(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        try {
            return new InetSocketAddress(hostPort.substring(0, Math.max(0, colon)),
                    Integer.parseInt(hostPort.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("no address: '" + hostPort + "'", e);
        }
    }
}
