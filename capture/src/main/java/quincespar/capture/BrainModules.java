package quincespar.capture;

import java.io.IOException;
import quincespar.decision.Brain;
import quincespar.decision.Gateway;

/** This build's own module, new or in a state that was captured. */
public final class BrainModules implements Replay.Modules {
    private final StateCodec codec = new StateCodec(Brain.class);

    @Override
    public Gateway fresh(Entry.Opening o) {
        return new Brain(o.settings(), o.seed());
    }

    @Override
    public Gateway restored(Entry.State s) throws IOException {
        return codec.read(s.bytes(), Brain.class);
    }

    @Override
    public byte[] state(Gateway module) {
        return codec.write(module);
    }
}
