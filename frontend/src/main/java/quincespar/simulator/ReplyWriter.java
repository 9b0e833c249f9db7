package quincespar.simulator;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import quincespar.decision.Scheduler;

/** Builds a reply: a length prefix and the records of the actions, packed little-endian. */
final class ReplyWriter {
    private static final int HEADER_BYTES = 4;
    private static final int INITIAL_BYTES = 1 << 12;
    private static final int MAX_FAULT_TEXT_BYTES = 2000;
    /** Destination of a {@code Tell} that goes to all instances. */
    private static final int ALL_INSTANCES = 0xffff;

    private static final int SEND = 10;
    private static final int REFUSE = 20;
    private static final int FAIL = 30;
    private static final int CANCEL = 40;
    private static final int SET_TIMER = 50;
    private static final int PROBE = 60;
    private static final int TELL = 80;
    private static final int FAULT = 100;
    private static final int WATCH = 110;
    private static final int FETCH = 120;
    private static final int TERMS = 130;

    private byte[] bytes = new byte[INITIAL_BYTES];
    private int size = HEADER_BYTES;

    private void u8(int v) {
        if (size == bytes.length) {
            bytes = Arrays.copyOf(bytes, bytes.length * 2);
        }
        bytes[size++] = (byte) v;
    }

    private void number(long v, int width) {
        for (int i = 0; i < width; i++) {
            u8((int) (v >>> 8 * i));
        }
    }

    private void f64(double v) {
        number(Double.doubleToLongBits(v), 8);
    }

    private void beginRecord(int code, int length, int instance) {
        u8(code);
        number(length, 4);
        number(instance, 2);
    }

    private void beginRequestRecord(int code, int extra, int instance, long id) {
        beginRecord(code, 10 + extra, instance);
        number(id, 8);
    }

    private void text(byte[] body) {
        number(body.length, 2);
        for (byte b : body) {
            u8(b);
        }
    }

    /** Adds a record that reports the failure of an instance's decision module. */
    void fault(int instance, String reason) {
        byte[] body = reason.getBytes(StandardCharsets.UTF_8);
        byte[] truncated = body.length > MAX_FAULT_TEXT_BYTES ? Arrays.copyOf(body, MAX_FAULT_TEXT_BYTES) : body;
        beginRecord(FAULT, 4 + truncated.length, instance);
        text(truncated);
    }

    /** Adds the record of an action of an instance. */
    void action(int instance, Scheduler.Action action) {
        if (action instanceof Scheduler.SendAttempt a) {
            beginRequestRecord(SEND, 14, instance, a.id());
            number(a.engine(), 6);
            f64(a.timeout());
        } else if (action instanceof Scheduler.RefuseRequest a) {
            beginRequestRecord(REFUSE, 8, instance, a.id());
            f64(a.retryAfter());
        } else if (action instanceof Scheduler.FailRequest a) {
            beginRequestRecord(FAIL, 0, instance, a.id());
        } else if (action instanceof Scheduler.CancelAttempt a) {
            beginRequestRecord(CANCEL, 2, instance, a.id());
            number(a.attempt(), 2);
        } else if (action instanceof Scheduler.SetTimer a) {
            beginRecord(SET_TIMER, 14, instance);
            number(a.token(), 4);
            f64(a.delay());
        } else if (action instanceof Scheduler.ProbeEngine a) {
            beginRecord(PROBE, 8, instance);
            number(a.engine(), 6);
        } else if (action instanceof Scheduler.TellPeers a) {
            beginRecord(TELL, 6 + a.payload().length, instance);
            number(a.to() < 0 ? ALL_INSTANCES : a.to(), 2);
            text(a.payload());
        } else if (action instanceof Scheduler.WatchEngineList a) {
            beginRecord(WATCH, 3, instance);
            u8(a.enabled() ? 1 : 0);
        } else if (action instanceof Scheduler.FetchEngineList) {
            beginRecord(FETCH, 2, instance);
        } else if (action instanceof Scheduler.SetTerms a) {
            beginRequestRecord(TERMS, 5, instance, a.id());
            u8(a.priority());
            number(Float.floatToIntBits((float) a.memoryGrant()), 4);
        }
    }

    /** Returns the finished reply and resets the writer. */
    byte[] take() {
        byte[] out = Arrays.copyOf(bytes, size);
        int length = size - HEADER_BYTES;
        for (int i = 0; i < HEADER_BYTES; i++) {
            out[i] = (byte) (length >>> 8 * i);
        }
        size = HEADER_BYTES;
        return out;
    }
}
