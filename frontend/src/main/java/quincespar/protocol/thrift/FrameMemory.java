package quincespar.protocol.thrift;

/** The memory for what is received on all connections together and not used yet: parts of long frames. One thread changes it. */
public final class FrameMemory {
    private final long maxBytes;
    private volatile long reservedBytes;

    /** Allows so many bytes at a time. */
    public FrameMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves memory; false if too little is free. */
    public boolean reserve(int bytes) {
        if (reservedBytes + bytes > maxBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Frees memory that was reserved. */
    public void release(int bytes) {
        reservedBytes -= bytes;
    }

    /** The bytes reserved for frames that are partly received. */
    public long reservedBytes() {
        return reservedBytes;
    }
}
