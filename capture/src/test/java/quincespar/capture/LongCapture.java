package quincespar.capture;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes a capture of ten minutes of virtual time to a folder, for measurements; no part of CI. */
final class LongCapture {
    private static final int REQUESTS = 340_000;
    private static final long SEGMENT = 16 << 20;

    private LongCapture() { }

    /** To the folder that is named, in segments of 16 MB. */
    public static void main(String[] args) throws IOException {
        MemoryStore store = new MemoryStore();
        CaptureWriter recording = new CaptureWriter(World.opening(71), new SegmentPolicy(new SegmentPolicy.Limits(SEGMENT, 1e15, 1L << 40, 1e15,
                100, 100), new SegmentName("long", 1, 0), store.list(), 0), store, System.out::println);
        recording.beginSegment(0, null, 0, "");
        double[] now = {0};
        new World(71, new CapturedGateway.Listener() {
            @Override
            public void onCall(Entry.Call call) {
                now[0] = call.time();
                recording.writeCall(now[0], call);
            }

            @Override
            public void onFailure(Entry.Gap gap) {
                recording.writeGap(now[0], gap);
            }

            @Override
            public boolean wantsState() {
                return recording.segmentDue(now[0]);
            }

            @Override
            public void onState(double time, byte[] bytes) {
                recording.beginSegment(time, new Entry.State(time, bytes), 0, "");
            }
        }).play(REQUESTS);
        recording.close(now[0]);
        Path folder = Files.createDirectories(Path.of(args[0]));
        for (SegmentStore.StoredSegment h : store.list()) {
            Files.write(folder.resolve(h.name()), store.files.get(h.name()).toByteArray());
        }
        System.out.println(recording.counts());
    }
}
