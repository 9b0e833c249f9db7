package quincespar.capture;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes a capture of ten minutes of virtual time to a folder, for measurements; not run in CI. */
final class LongCapture {
    private static final int REQUESTS = 340_000;
    private static final long SEGMENT_BYTES = 16 << 20;

    private LongCapture() { }

    /** Writes segments of 16 MB; the argument is the folder. */
    public static void main(String[] args) throws IOException {
        MemoryStore store = new MemoryStore();
        CaptureWriter writer = new CaptureWriter(SimulatedCluster.opening(71),
                new SegmentPolicy(new SegmentPolicy.Limits(SEGMENT_BYTES, 1e15, 1L << 40, 1e15, 100, 100),
                        new SegmentName("long", 1, 0), store.list(), 0), store, System.out::println);
        writer.beginSegment(0, null, 0, "");
        double[] now = {0};
        new SimulatedCluster(71, new CapturedScheduler.Listener() {
            @Override
            public void onCall(Entry.Call call) {
                now[0] = call.time();
                writer.writeCall(now[0], call);
            }

            @Override
            public void onFailure(Entry.Gap gap) {
                writer.writeGap(now[0], gap);
            }

            @Override
            public boolean wantsState() {
                return writer.segmentDue(now[0]);
            }

            @Override
            public void onState(double time, byte[] bytes) {
                writer.beginSegment(time, new Entry.State(time, bytes), 0, "");
            }
        }).run(REQUESTS);
        writer.close(now[0]);
        Path folder = Files.createDirectories(Path.of(args[0]));
        for (SegmentStore.StoredSegment s : store.list()) {
            Files.write(folder.resolve(s.name()), store.files.get(s.name()).toByteArray());
        }
        System.out.println(writer.counts());
    }
}
