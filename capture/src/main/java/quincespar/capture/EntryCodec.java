package quincespar.capture;

import java.security.MessageDigest;
import java.util.List;
import quincespar.decision.Gateway;
import quincespar.records.MalformedRecordException;
import quincespar.records.RecordCodec;
import quincespar.records.StoredNames;

/** Encodes and decodes entries. Not thread-safe. */
public final class EntryCodec {
    /** The stored names of entries, events and actions, and of all that they hold, where the code has other names. */
    private static final StoredNames STORED_NAMES = StoredNames.none()
            .component(Entry.Opening.class, "moduleDigest", "module")
            .component(Entry.Gap.class, "lostCalls", "calls")
            .component(Entry.Gap.class, "reason", "why");

    private final RecordCodec records = new RecordCodec(STORED_NAMES, Entry.class, Gateway.Event.class, Gateway.Action.class);

    /** Sixteen hex digits that identify the format of entries. */
    public String schema() {
        return Digests.shortHex(schemaText());
    }

    /** The schema of the records, of which {@link #schema()} is the digest. */
    String schemaText() {
        return records.schema();
    }

    /** Encodes an entry. */
    public byte[] write(Entry entry) {
        return records.write(entry);
    }

    /** Decodes an entry; throws {@link MalformedCaptureException} for any other bytes. */
    public Entry read(byte[] bytes) throws MalformedCaptureException {
        try {
            return records.read(bytes, Entry.class);
        } catch (MalformedRecordException e) {
            throw new MalformedCaptureException(e.getMessage(), e);
        }
    }

    /** Adds a call's time and actions, encoded, to a digest by which two replays can be compared. */
    void digest(MessageDigest digest, Entry.Call call) {
        digest.update(write(new Entry.Call(call.time(), List.of(), call.actions())));
    }
}
