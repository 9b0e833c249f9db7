package quincespar.capture;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;

/** Where segments are kept. Any call may fail, at any time, and take long. */
public interface SegmentStore {
    /** A file that is kept; {@code bytes} is its length. */
    record StoredSegment(String name, long bytes) { }

    /** A file that is being written. */
    interface SegmentOutput extends Closeable {
        /** Appends these bytes, or fails; how many of them were written then is not known. */
        void write(byte[] bytes) throws IOException;

        /** Has what was written survive the end of this process. */
        void flush() throws IOException;
    }

    /** All segments that are kept. */
    List<StoredSegment> list() throws IOException;

    /** Reads one; throws {@link java.nio.file.NoSuchFileException} where it has gone meanwhile. */
    InputStream open(String name) throws IOException;

    /** Begins a new one. */
    SegmentOutput create(String name) throws IOException;

    /** Gives one up. */
    void delete(String name) throws IOException;
}
