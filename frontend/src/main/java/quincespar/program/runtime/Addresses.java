package quincespar.program.runtime;

import java.net.InetSocketAddress;

/** Parses the addresses of configurations. */
public final class Addresses {
    private Addresses() { }

    /**
     * Parses {@code host:port}. The host should be an IP address: a host name would block on a name lookup.
     *
     * @throws IllegalArgumentException with a one-line message if the text is not an address
     */
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
