package quincespar.program;

/** Where the program stands between its start and its exit. */
final class Lifecycle {
    /** The phases, in order; none is entered twice. */
    enum Phase {
        /** Reading the configuration and binding the address. */
        STARTING,
        /** Taking requests and answering them. */
        SERVING,
        /** Told to stop: clients may not know yet, so all that comes is still taken. */
        LEAVING,
        /** Accepting no more connections; what came last may still lie unread. */
        SETTLING,
        /** Told to stop while another process serves at this address: clients are moved to it one by one. */
        YIELDING,
        /** All that came was read; what was taken is answered. */
        FINISHING,
        /** All is answered: the last bytes are written and the program ends. */
        STOPPED
    }

    private Phase phase = Phase.STARTING;
    private boolean listed;

    synchronized Phase phase() {
        return phase;
    }

    /** Whether an engine is listed that takes work. */
    synchronized void listed(boolean some) {
        listed = some;
    }

    /** Whether this process is ready to serve clients: the one source of that, whoever asks. */
    synchronized boolean ready() {
        return phase == Phase.SERVING && listed;
    }

    /** Goes on to a later phase; false where it is that far already. */
    synchronized boolean enter(Phase next) {
        if (next.compareTo(phase) <= 0) {
            return false;
        }
        phase = next;
        notifyAll();
        return true;
    }

    /**
     * Serves from now on; false where it was told to stop meanwhile. Other processes are told first and the yes is said
     * then: whoever hears the yes may send the old process its word to stop at once, and that one must find that this one
     * serves, or it would not move its clients. No lock is held while they are told.
     */
    boolean serve(Runnable tellOthers, Runnable takeBack) {
        tellOthers.run();
        if (enter(Phase.SERVING)) {
            return true;
        }
        takeBack.run();
        return false;
    }

    /**
     * Word to stop: before it serves, nothing has been taken and it ends at once; {@code beside} another process that
     * serves here it yields to that, else it leaves. True for the first such word.
     */
    synchronized boolean leave(boolean beside) {
        return phase.compareTo(Phase.SERVING) <= 0
                && enter(phase == Phase.STARTING ? Phase.STOPPED : beside ? Phase.YIELDING : Phase.LEAVING);
    }

    synchronized void await(Phase wanted) throws InterruptedException {
        while (phase.compareTo(wanted) < 0) {
            wait();
        }
    }
}
