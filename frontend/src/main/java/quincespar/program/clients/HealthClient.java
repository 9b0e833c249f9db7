package quincespar.program.clients;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import quincespar.protocol.MalformedException;
import quincespar.protocol.thrift.FrontCodec;

/** A client for the health call of a running front end. */
public final class HealthClient {
    private static final int TIMEOUT_MS = 3000;
    private static final int MAX_FRAME_BYTES = 1 << 16;

    private HealthClient() { }

    /** Connects, makes one health call and returns its answer; throws {@link IOException} also for a malformed answer. */
    public static FrontCodec.Answer query(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(FrontCodec.healthCall(1));
            DataInputStream in = new DataInputStream(socket.getInputStream());
            int length = in.readInt();
            if (length <= 0 || length > MAX_FRAME_BYTES) {
                throw new IOException("health answer of " + length + " bytes");
            }
            byte[] frame = new byte[length];
            in.readFully(frame);
            return FrontCodec.readAnswer(frame);
        } catch (MalformedException e) {
            throw new IOException(e.getMessage(), e);
        }
    }
}
