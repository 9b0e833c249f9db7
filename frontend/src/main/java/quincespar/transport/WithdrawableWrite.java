package quincespar.transport;

import java.io.IOException;

/**
 * A write that can be withdrawn until the first byte of its frame has gone out. A try that puts out nothing, as one into a
 * full buffer or one that fails, leaves it as it was. Whoever has withdrawn it holds the proof that nothing of the frame
 * was written.
 */
public final class WithdrawableWrite {
    private enum State { QUEUED, BEGUN, WITHDRAWN }

    /** Puts out what the system takes now, without waiting. */
    interface Output {
        /** True where a byte of the frame is out. */
        boolean write() throws IOException;
    }

    private State state = State.QUEUED;

    /** The first byte goes out now; false where the write was withdrawn or has begun. */
    public synchronized boolean begin() {
        if (state != State.QUEUED) {
            return false;
        }
        state = State.BEGUN;
        return true;
    }

    /** Writes; false where it was withdrawn, and then nothing is written. */
    synchronized boolean write(Output output) throws IOException {
        if (state == State.WITHDRAWN) {
            return false;
        }
        if (output.write()) {
            state = State.BEGUN;
        }
        return true;
    }

    /** Withdraws it; true where no byte of the frame has gone out, and then none ever will. */
    public synchronized boolean withdraw() {
        if (state == State.QUEUED) {
            state = State.WITHDRAWN;
        }
        return state == State.WITHDRAWN;
    }
}
