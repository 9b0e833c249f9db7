package quincespar.capture;

import java.io.IOException;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Gateway;

/** This build's own module, new or in a state that was captured. */
public final class BrainModules implements Replay.Modules {
    private final StateCodec codec = new StateCodec(GcMuScheduler.class);

    @Override
    public Gateway fresh(Entry.Opening o) {
        return new GcMuScheduler(o.settings(), o.seed());
    }

    @Override
    public Gateway restored(Entry.State s) throws IOException {
        return codec.read(s.bytes(), GcMuScheduler.class);
    }

    @Override
    public byte[] state(Gateway module) {
        return codec.write(module);
    }
}
