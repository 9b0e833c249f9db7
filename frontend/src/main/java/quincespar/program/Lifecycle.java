package quincespar.program;

/** The phase of the process between its start and its exit. Thread-safe. */
final class Lifecycle {
    /** The phases in order; none is entered twice. */
    enum Phase {
        /** Reading the configuration and binding the address. */
        STARTING,
        /** Accepting and answering requests. */
        SERVING,
        /** Told to stop: clients may not know yet, so new connections and requests are still accepted. */
        LEAVING,
        /** Accepting no more connections; the last requests may not have been read yet. */
        SETTLING,
        /** Told to stop while another process serves at this address: connections are closed so that clients move to it. */
        YIELDING,
        /** All received requests have been read; open requests are being answered. */
        FINISHING,
        /** All requests are answered and written; the program ends. */
        STOPPED
    }

    private Phase phase = Phase.STARTING;
    private boolean engineAvailable;

    synchronized Phase phase() {
        return phase;
    }

    /** Sets whether an engine is listed that accepts requests. */
    synchronized void setEngineAvailable(boolean available) {
        engineAvailable = available;
    }

    /** Whether this process is ready to serve clients; both addresses answer readiness checks by this. */
    synchronized boolean ready() {
        return phase == Phase.SERVING && engineAvailable;
    }

    /** Enters a later phase; false if this phase or a later one has been entered already. */
    synchronized boolean enter(Phase next) {
        if (next.compareTo(phase) <= 0) {
            return false;
        }
        phase = next;
        notifyAll();
        return true;
    }

    /**
     * Enters {@link Phase#SERVING}; false if the process was told to stop meanwhile. {@code markServing} runs before this process
     * reports ready: an operator may stop the old process as soon as this one is ready, and the old one moves its clients only if
     * it sees that another process serves. {@code clearServing} reverts it. No lock is held while these run.
     */
    boolean serve(Runnable markServing, Runnable clearServing) {
        markServing.run();
        if (enter(Phase.SERVING)) {
            return true;
        }
        clearServing.run();
        return false;
    }

    /**
     * Starts the shutdown. Before the process serves nothing has been accepted, so it stops at once; if another process serves at
     * this address, clients are moved to it. True for the first call only.
     */
    synchronized boolean stop(boolean othersServing) {
        return phase.compareTo(Phase.SERVING) <= 0
                && enter(phase == Phase.STARTING ? Phase.STOPPED : othersServing ? Phase.YIELDING : Phase.LEAVING);
    }

    /** Waits until this phase or a later one has been entered. */
    synchronized void await(Phase wanted) throws InterruptedException {
        while (phase.compareTo(wanted) < 0) {
            wait();
        }
    }
}
