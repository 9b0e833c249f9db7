package quincespar.capture;

import java.security.MessageDigest;
import quincespar.records.MalformedRecord;
import quincespar.records.RecordCodec;
import quincespar.records.StoredNames;

/** Entries as bytes and back. Used by one thread. */
public final class EntryCodec {
    /** The stored names of entries, events and actions, and of all that they hold, where the code has other names. */
    private static final StoredNames STORED_NAMES = StoredNames.none();

    private final RecordCodec records = new RecordCodec(STORED_NAMES, Entry.class, quincespar.decision.Gateway.Event.class,
            quincespar.decision.Gateway.Action.class);

    /** Sixteen hex digits that change where the form of entries does. */
    public String schema() {
        return Digests.name(schemaText());
    }

    /** The schema of the records, of which {@link #schema()} is the digest. */
    String schemaText() {
        return records.schema();
    }

    /** An entry's bytes. */
    public byte[] write(Entry e) {
        return records.write(e);
    }

    /** Reads an entry whole; throws {@link MalformedCapture} at what is none. */
    public Entry read(byte[] bytes) throws MalformedCapture {
        try {
            return records.read(bytes, Entry.class);
        } catch (MalformedRecord e) {
            throw new MalformedCapture(e.getMessage(), e);
        }
    }

    /** The digest over what the module answered, in the form of a capture: two replays compare by it. */
    void digest(MessageDigest to, Entry.Call call) {
        to.update(write(new Entry.Call(call.time(), java.util.List.of(), call.actions())));
    }
}
