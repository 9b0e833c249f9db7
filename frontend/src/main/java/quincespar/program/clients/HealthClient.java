package quincespar.program.clients;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import quincespar.protocol.MalformedException;
import quincespar.protocol.thrift.FrontCodec;

/** Asks a running front end for its health, as the front layer does. */
public final class HealthClient {
    private static final int WAIT_MS = 3000;
    private static final int LONGEST = 1 << 16;

    private HealthClient() { }

    public static FrontCodec.Answer query(InetSocketAddress address) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, WAIT_MS);
            socket.setSoTimeout(WAIT_MS);
            socket.getOutputStream().write(FrontCodec.healthCall(1));
            DataInputStream in = new DataInputStream(socket.getInputStream());
            int length = in.readInt();
            if (length <= 0 || length > LONGEST) {
                throw new IOException("an answer of " + length + " bytes");
            }
            byte[] frame = new byte[length];
            in.readFully(frame);
            return FrontCodec.readAnswer(frame);
        } catch (MalformedException e) {
            throw new IOException(e.getMessage(), e);
        }
    }
}
