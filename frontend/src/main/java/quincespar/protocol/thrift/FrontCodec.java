package quincespar.protocol.thrift;

import java.io.ByteArrayOutputStream;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;
import quincespar.protocol.MalformedException;
import quincespar.protocol.Utf8;

/** The service {@code Front} in Thrift's strict binary protocol; {@link FrameDecoder} splits the frames. */
public final class FrontCodec {
    /** Types of application exceptions. */
    public static final int UNKNOWN_METHOD = 1;
    public static final int INVALID_MESSAGE_TYPE = 2;
    public static final int INTERNAL_ERROR = 6;
    public static final int PROTOCOL_ERROR = 7;

    private static final int VERSION = 0x80010000;
    private static final int VERSION_MASK = 0xffff0000;
    private static final int MESSAGE_TYPE_MASK = 0xff;

    /* Message types. */
    private static final int CALL = 1;
    private static final int REPLY = 2;
    private static final int EXCEPTION = 3;
    private static final int ONEWAY = 4;

    /* Field types. */
    private static final int STOP = 0;
    private static final int BOOL = 2;
    private static final int BYTE = 3;
    private static final int DOUBLE = 4;
    private static final int I16 = 6;
    private static final int I32 = 8;
    private static final int I64 = 10;
    private static final int STRING = 11;
    private static final int STRUCT = 12;
    private static final int MAP = 13;
    private static final int SET = 14;
    private static final int LIST = 15;

    private static final int MAX_NESTING_DEPTH = 8;
    /** Behind the frame's length and the message's version and type. */
    private static final int METHOD_LENGTH_OFFSET = 2 * Integer.BYTES;

    private FrontCodec() { }

    // ---- reading -----------------------------------------------------------------------------------------

    /** Decodes a frame; throws {@link MalformedException} if not even its sequence number can be read. */
    public static Message read(byte[] frame) {
        ByteBuffer in = ByteBuffer.wrap(frame);
        int header;
        String method;
        int seqid;
        try {
            header = in.getInt();
            if ((header & VERSION_MASK) != VERSION) {
                throw new MalformedException("not the strict binary protocol");
            }
            method = text(in);
            seqid = in.getInt();
        } catch (BufferUnderflowException e) {
            throw new MalformedException("a message that ends in its head");
        }
        int type = header & MESSAGE_TYPE_MASK;
        if (type != CALL && type != ONEWAY) {
            return new Message.Invalid(seqid, INVALID_MESSAGE_TYPE, "a message of type " + type);
        }
        try {
            return switch (method) {
                case "call" -> call(in, seqid);
                case "cancel" -> cancel(in, seqid);
                case "health" -> {
                    skip(in, STRUCT, 0);
                    yield new Message.Health(seqid);
                }
                default -> new Message.Invalid(seqid, UNKNOWN_METHOD, "no method " + method);
            };
        } catch (BufferUnderflowException e) {
            return new Message.Invalid(seqid, PROTOCOL_ERROR, "the message ends too early");
        } catch (MalformedException e) {
            return new Message.Invalid(seqid, PROTOCOL_ERROR, e.getMessage());
        }
    }

    /** The sequence number of a {@code call} of which only the beginning is there; empty for any other message. */
    public static OptionalInt callSeqid(byte[] head) {
        ByteBuffer in = ByteBuffer.wrap(head);
        try {
            boolean call = in.getInt() == (VERSION | CALL) && text(in).equals("call");
            return call ? OptionalInt.of(in.getInt()) : OptionalInt.empty();
        } catch (BufferUnderflowException | MalformedException e) {
            return OptionalInt.empty();
        }
    }

    private static Message call(ByteBuffer in, int seqid) {
        Map<String, String> fields = Map.of();
        byte[] body = new byte[0];
        for (int type = in.get(); type != STOP; type = in.get()) {
            int id = in.getShort();
            if (id == 1 && type == MAP) {
                fields = map(in);
            } else if (id == 2 && type == STRING) {
                body = bytes(in);
            } else {
                skip(in, type, 0);
            }
        }
        return new Message.Call(seqid, fields, body);
    }

    private static Message cancel(ByteBuffer in, int seqid) {
        int cancelled = 0;
        for (int type = in.get(); type != STOP; type = in.get()) {
            int id = in.getShort();
            if (id == 1 && type == I32) {
                cancelled = in.getInt();
            } else {
                skip(in, type, 0);
            }
        }
        return new Message.Cancel(seqid, cancelled);
    }

    private static Map<String, String> map(ByteBuffer in) {
        int key = in.get();
        int value = in.get();
        int n = count(in);
        if (n > 0 && (key != STRING || value != STRING)) {
            throw new MalformedException("fields that are not text");
        }
        Map<String, String> out = new LinkedHashMap<>();
        for (int i = 0; i < n; i++) {
            out.put(text(in), text(in));
        }
        return out;
    }

    private static int count(ByteBuffer in) {
        int n = in.getInt();
        if (n < 0 || n > in.remaining()) {
            throw new MalformedException("a length of " + n + " past the message's end");
        }
        return n;
    }

    private static byte[] bytes(ByteBuffer in) {
        byte[] out = new byte[count(in)];
        in.get(out);
        return out;
    }

    private static String text(ByteBuffer in) {
        return Utf8.text(bytes(in));
    }

    private static void skip(ByteBuffer in, int type, int depth) {
        if (depth > MAX_NESTING_DEPTH) { // deep nesting would overflow the small stack of the event loop's thread
            throw new MalformedException("nested too deep");
        }
        switch (type) {
            case BOOL, BYTE -> in.get();
            case I16 -> in.getShort();
            case I32 -> in.getInt();
            case I64, DOUBLE -> in.getLong();
            case STRING -> bytes(in);
            case STRUCT -> {
                for (int t = in.get(); t != STOP; t = in.get()) {
                    in.getShort();
                    skip(in, t, depth + 1);
                }
            }
            case MAP -> {
                int key = in.get();
                int value = in.get();
                int n = count(in);
                for (int i = 0; i < n; i++) {
                    skip(in, key, depth + 1);
                    skip(in, value, depth + 1);
                }
            }
            case SET, LIST -> {
                int item = in.get();
                int n = count(in);
                for (int i = 0; i < n; i++) {
                    skip(in, item, depth + 1);
                }
            }
            default -> throw new MalformedException("no type " + type);
        }
    }

    /** The fields of the Thrift struct {@code Answer}, as a client decodes it. */
    public record Answer(Map<String, String> fields, boolean good) { }

    /** Decodes the answer to {@code health}; throws {@link MalformedException} if the frame holds none. */
    public static Answer readAnswer(byte[] frame) {
        ByteBuffer in = ByteBuffer.wrap(frame);
        Map<String, String> fields = Map.of();
        boolean good = false;
        try {
            if (in.getInt() != (VERSION | REPLY)) {
                throw new MalformedException("not an answer");
            }
            text(in);
            in.getInt();
            if (in.get() != STRUCT || in.getShort() != 0) {
                throw new MalformedException("an answer without a result");
            }
            for (int type = in.get(); type != STOP; type = in.get()) {
                int id = in.getShort();
                if (id == 2 && type == MAP) {
                    fields = map(in);
                } else if (id == 3 && type == BOOL) {
                    good = in.get() != 0;
                } else {
                    skip(in, type, 0);
                }
            }
            return new Answer(fields, good);
        } catch (BufferUnderflowException e) {
            throw new MalformedException("an answer that ends too early");
        }
    }

    // ---- writing -----------------------------------------------------------------------------------------

    /** Encodes a reply with an {@code Answer}. */
    public static byte[] answer(String method, int seqid, byte[] body, Map<String, String> fields, boolean good) {
        FrameWriter out = new FrameWriter(REPLY, method, seqid);
        out.field(STRUCT, 0);
        out.field(STRING, 1);
        out.bytes(body);
        out.fields(2, fields);
        out.field(BOOL, 3);
        out.write(good ? 1 : 0);
        out.write(STOP);
        return out.frame();
    }

    /** A message as it was encoded, under another sequence number. */
    public static byte[] withSeqid(byte[] frame, int seqid) {
        byte[] copy = frame.clone();
        ByteBuffer out = ByteBuffer.wrap(copy);
        int methodLength = out.getInt(METHOD_LENGTH_OFFSET);
        out.putInt(METHOD_LENGTH_OFFSET + Integer.BYTES + methodLength, seqid);
        return copy;
    }

    /** Encodes a reply with the declared exception {@code Busy}. */
    public static byte[] busy(int seqid, Map<String, String> fields) {
        return declaredException(seqid, 1, fields);
    }

    /** Encodes a reply with the declared exception {@code Failed}. */
    public static byte[] failed(int seqid, Map<String, String> fields) {
        return declaredException(seqid, 2, fields);
    }

    private static byte[] declaredException(int seqid, int id, Map<String, String> fields) {
        FrameWriter out = new FrameWriter(REPLY, "call", seqid);
        out.field(STRUCT, id);
        out.fields(1, fields);
        out.write(STOP);
        return out.frame();
    }

    /** Encodes an application exception. */
    public static byte[] exception(int seqid, int type, String reason) {
        FrameWriter out = new FrameWriter(EXCEPTION, "call", seqid);
        out.field(STRING, 1);
        out.bytes(reason.getBytes(StandardCharsets.UTF_8));
        out.field(I32, 2);
        out.int32(type);
        return out.frame();
    }

    /** Encodes a {@code call}, as a client sends it. */
    public static byte[] call(int seqid, Map<String, String> fields, byte[] body) {
        FrameWriter out = new FrameWriter(CALL, "call", seqid);
        out.fields(1, fields);
        out.field(STRING, 2);
        out.bytes(body);
        return out.frame();
    }

    /** Encodes a {@code health} call, for the command that asks a running front end for its health. */
    public static byte[] healthCall(int seqid) {
        FrameWriter out = new FrameWriter(CALL, "health", seqid);
        out.field(BOOL, 1);
        out.write(0);
        return out.frame();
    }

    private static final class FrameWriter extends ByteArrayOutputStream {
        FrameWriter(int type, String method, int seqid) {
            int32(0); // frame length, set in frame()
            int32(VERSION | type);
            bytes(method.getBytes(StandardCharsets.UTF_8));
            int32(seqid);
        }

        void int32(int v) {
            for (int shift = 24; shift >= 0; shift -= 8) {
                write(v >>> shift);
            }
        }

        void bytes(byte[] b) {
            int32(b.length);
            writeBytes(b);
        }

        void field(int type, int id) {
            write(type);
            write(id >>> 8);
            write(id);
        }

        void fields(int id, Map<String, String> fields) {
            field(MAP, id);
            write(STRING);
            write(STRING);
            int32(fields.size());
            fields.forEach((k, v) -> {
                bytes(k.getBytes(StandardCharsets.UTF_8));
                bytes(v.getBytes(StandardCharsets.UTF_8));
            });
        }

        byte[] frame() {
            write(STOP);
            byte[] all = toByteArray();
            ByteBuffer.wrap(all).putInt(all.length - 4);
            return all;
        }
    }
}
