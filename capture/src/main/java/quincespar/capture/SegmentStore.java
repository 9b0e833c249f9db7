package quincespar.capture;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;

/** Storage of segments. Any call may fail at any time, or block for long. */
public interface SegmentStore {
    /** A stored file and its length in bytes. */
    record StoredSegment(String name, long bytes) { }

    /** A file that is being written. */
    interface SegmentOutput extends Closeable {
        /** Appends these bytes; after a failure, any part of them may have been written. */
        void write(byte[] bytes) throws IOException;

        /** Hands buffered bytes to the operating system, so that they survive the end of this process. */
        void flush() throws IOException;
    }

    /** All stored segments. */
    List<StoredSegment> list() throws IOException;

    /** Opens a segment for reading; throws {@link java.nio.file.NoSuchFileException} if it has been deleted meanwhile. */
    InputStream open(String name) throws IOException;

    /** Creates a new segment. */
    SegmentOutput create(String name) throws IOException;

    /** Deletes a segment. */
    void delete(String name) throws IOException;
}
