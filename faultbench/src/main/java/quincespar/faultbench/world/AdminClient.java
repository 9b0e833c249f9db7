package quincespar.faultbench.world;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** HTTP client of an instance's admin interface. */
public final class AdminClient {
    private static final int HEADER_SEPARATOR_CHARS = 4;

    /** An HTTP response; status 0 means that none arrived. */
    public record Response(int status, String body) {
        /** The top-level JSON values by name; the objects of a list are in {@link #rows}. */
        public Map<String, String> values() {
            Map<String, String> out = new LinkedHashMap<>();
            read(out, new ArrayList<>());
            return out;
        }

        /** Status and first line of the body, for reports. */
        public String summary() {
            return status + " " + body.lines().findFirst().orElse("");
        }

        /** The objects of the list in the JSON body. */
        public List<Map<String, String>> rows() {
            List<Map<String, String>> out = new ArrayList<>();
            read(new LinkedHashMap<>(), out);
            return out;
        }

        private void read(Map<String, String> all, List<Map<String, String>> rows) {
            try (JsonParser in = new JsonFactory().createParser(body)) {
                Map<String, String> to = all;
                for (JsonToken t = in.nextToken(); t != null; t = in.nextToken()) {
                    if (t == JsonToken.START_OBJECT && in.getParsingContext().getParent().inArray()) {
                        to = new LinkedHashMap<>();
                        rows.add(to);
                    } else if (t == JsonToken.END_ARRAY) {
                        to = all;
                    } else if (t.isScalarValue()) {
                        to.put(in.currentName(), in.getText());
                    }
                }
            } catch (IOException e) {
                throw new IllegalStateException("response is not valid JSON: " + body, e);
            }
        }
    }

    private AdminClient() { }

    /** Sends one request; {@code waitMs} bounds connecting and each read. */
    public static Response call(InetSocketAddress at, String method, String path, int waitMs) {
        try (Socket s = new Socket()) {
            s.connect(at, waitMs);
            s.setSoTimeout(waitMs);
            s.getOutputStream().write((method + " " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(
                    StandardCharsets.US_ASCII));
            String text = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int headerEnd = text.indexOf("\r\n\r\n");
            return headerEnd < 0 || !text.startsWith("HTTP/1.1 ") ? new Response(0, "")
                    : new Response(Integer.parseInt(text.substring(9, 12)), text.substring(headerEnd + HEADER_SEPARATOR_CHARS));
        } catch (IOException e) { // refused, reset or timed out; callers make no difference
            return new Response(0, "");
        }
    }
}
