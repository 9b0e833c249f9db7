package quincespar.capture;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.exc.StreamReadException;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.MessageDigest;

/** Entries as bytes and back. Used by one thread. */
public final class EntryCodec {
    private final CBORFactory cbor = new CBORFactory();
    private final RecordCodec records = new RecordCodec(Entry.class, quincespar.decision.Gateway.Event.class,
            quincespar.decision.Gateway.Action.class);

    /** Sixteen hex digits that change where the form of entries does. */
    public String schema() {
        return Digests.name(records.schema());
    }

    /** An entry's bytes. */
    public byte[] write(Entry e) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(256);
        try (JsonGenerator to = cbor.createGenerator(out)) {
            records.write(to, e);
        } catch (IOException x) { // nothing is written anywhere but to memory
            throw new UncheckedIOException(x);
        }
        return out.toByteArray();
    }

    /** Reads an entry whole; throws {@link MalformedCapture} at what is none. */
    public Entry read(byte[] bytes) throws MalformedCapture {
        try (JsonParser in = cbor.createParser(bytes)) {
            if (in.nextToken() == null) {
                throw new MalformedCapture("an empty record", null);
            }
            Entry e = (Entry) records.read(in, Entry.class);
            if (in.nextToken() != null) {
                throw new MalformedCapture("bytes after the end of a record", null);
            }
            return e;
        } catch (MalformedCapture e) {
            throw e;
        } catch (StreamReadException e) {
            throw new MalformedCapture("no CBOR: " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new MalformedCapture("a record that can't be read: " + e.getMessage(), e);
        }
    }

    /** The digest over what the module answered, in the form of a capture: two replays compare by it. */
    void digest(MessageDigest to, Entry.Call call) {
        to.update(write(new Entry.Call(call.time(), java.util.List.of(), call.actions())));
    }
}
