package quincespar.simulator;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import quincespar.decision.Gateway;

/** Builds one reply: a length and the records of the actions, packed little-endian. */
final class ReplyWriter {
    private static final int HEADER = 4;
    private byte[] bytes = new byte[1 << 12];
    private int size = HEADER;

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

    private void open(int code, int length, int instance) {
        u8(code);
        number(length, 4);
        number(instance, 2);
    }

    private void request(int code, int extra, int instance, long id) {
        open(code, 10 + extra, instance);
        number(id, 8);
    }

    private void text(byte[] body) {
        number(body.length, 2);
        for (byte b : body) {
            u8(b);
        }
    }

    /** Adds the word that an instance's module failed. */
    void fault(int instance, String why) {
        byte[] body = why.getBytes(StandardCharsets.UTF_8);
        byte[] cut = body.length > 2000 ? Arrays.copyOf(body, 2000) : body;
        open(100, 4 + cut.length, instance);
        text(cut);
    }

    /** Adds one action of an instance. */
    void action(int instance, Gateway.Action action) {
        if (action instanceof Gateway.Send a) {
            request(10, 14, instance, a.id());
            number(a.engine(), 6);
            f64(a.timeout());
        } else if (action instanceof Gateway.Refuse a) {
            request(20, 8, instance, a.id());
            f64(a.comeBack());
        } else if (action instanceof Gateway.Fail a) {
            request(30, 0, instance, a.id());
        } else if (action instanceof Gateway.Cancel a) {
            request(40, 2, instance, a.id());
            number(a.attempt(), 2);
        } else if (action instanceof Gateway.SetTimer a) {
            open(50, 14, instance);
            number(a.token(), 4);
            f64(a.delay());
        } else if (action instanceof Gateway.Probe a) {
            open(60, 8, instance);
            number(a.engine(), 6);
        } else if (action instanceof Gateway.Tell a) {
            open(80, 6 + a.text().length, instance);
            number(a.to() < 0 ? 0xffff : a.to(), 2);
            text(a.text());
        } else if (action instanceof Gateway.Watch a) {
            open(110, 3, instance);
            u8(a.on() ? 1 : 0);
        } else if (action instanceof Gateway.Fetch) {
            open(120, 2, instance);
        } else if (action instanceof Gateway.Terms a) {
            request(130, 5, instance, a.id());
            u8(a.priority());
            number(Float.floatToIntBits((float) a.memory()), 4);
        }
    }

    /** The finished reply; the writer is empty again afterwards. */
    byte[] take() {
        byte[] out = Arrays.copyOf(bytes, size);
        int length = size - HEADER;
        for (int i = 0; i < HEADER; i++) {
            out[i] = (byte) (length >>> 8 * i);
        }
        size = HEADER;
        return out;
    }
}
