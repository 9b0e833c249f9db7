package quincespar.capture;

import java.io.IOException;
import quincespar.decision.Brain;
import quincespar.decision.Gateway;

/** This build's own module, new or in a state that was captured. */
public final class CurrentModuleFactory implements Replay.ModuleFactory {
    private final StateCodec codec = new StateCodec(Brain.class);

    @Override
    public Gateway create(Entry.Opening o) {
        return new Brain(o.settings(), o.seed());
    }

    @Override
    public Gateway restore(Entry.State s) throws IOException {
        return codec.read(s.bytes(), Brain.class);
    }

    @Override
    public byte[] stateOf(Gateway module) {
        return codec.write(module);
    }
}
