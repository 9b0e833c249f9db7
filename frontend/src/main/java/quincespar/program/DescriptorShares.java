package quincespar.program;

/** How many connections of clients may be open, by the number of descriptors that this process may hold. */
final class DescriptorShares {
    /** For connections with open requests; a third of the descriptors by the protocol. */
    private static final double BUSY_CLIENTS = 0.45;
    /** For connections beyond the limit on busy ones, whose requests are refused. */
    private static final double SPARE_CLIENTS = 0.03;
    private static final int MIN_SPARE_CLIENTS = 4;
    /** During an upgrade, while an older process holds descriptors until it ends: what clients may hold by the protocol. */
    private static final double BUSY_CLIENTS_IN_UPGRADE = 1 / 3.0;
    /** During an upgrade, the share from which idle connections are closed for new ones. */
    private static final double CLIENTS_IN_UPGRADE = 0.3;

    private DescriptorShares() { }

    /** How many connections of clients may have requests open. */
    static int busyClients(int descriptors) {
        return (int) (descriptors * BUSY_CLIENTS);
    }

    /** As {@link #busyClients}, while an older process serves too. */
    static int busyClientsInUpgrade(int descriptors) {
        return (int) (descriptors * BUSY_CLIENTS_IN_UPGRADE);
    }

    /** From how many connections on idle ones are closed for new ones, while an older process serves too. */
    static int clientsInUpgrade(int descriptors) {
        return (int) (descriptors * CLIENTS_IN_UPGRADE);
    }

    /** How many connections of clients may be open where that many of them may have requests open. */
    static int acceptedClients(int descriptors, int maxBusyClients) {
        return maxBusyClients + Math.max(MIN_SPARE_CLIENTS, (int) (descriptors * SPARE_CLIENTS));
    }
}
