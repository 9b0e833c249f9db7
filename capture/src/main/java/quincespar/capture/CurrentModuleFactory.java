package quincespar.capture;

import java.io.IOException;
import quincespar.decision.GcMuScheduler;
import quincespar.decision.Scheduler;

/** Creates instances of this build's decision module, new ones or from a captured state. */
public final class CurrentModuleFactory implements Replay.ModuleFactory {
    private final StateCodec codec = new StateCodec(GcMuScheduler.class);

    @Override
    public Scheduler create(Entry.Opening opening) {
        return new GcMuScheduler(opening.settings(), opening.seed());
    }

    @Override
    public Scheduler restore(Entry.State state) throws IOException {
        return codec.read(state.bytes(), GcMuScheduler.class);
    }

    @Override
    public byte[] stateOf(Scheduler module) {
        return codec.write(module);
    }
}
