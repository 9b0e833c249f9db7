package quincespar.agreement;

import java.io.IOException;
import java.util.function.Consumer;
import quincespar.fleet.Agreement;
import quincespar.fleet.FleetConfig;
import quincespar.fleet.Snapshot;

/** Provides {@link RatisAgreement}; loaded by the front end if a fleet is configured. */
public final class RatisProvider implements Agreement.Provider {
    @Override
    public Agreement open(FleetConfig config, String self, Consumer<Snapshot> applied) throws IOException {
        Thread caller = Thread.currentThread();
        ClassLoader before = caller.getContextClassLoader();
        caller.setContextClassLoader(RatisProvider.class.getClassLoader()); // the library loads its parts with it, and keeps it
        try {
            return new RatisAgreement(config, self, applied);
        } finally {
            caller.setContextClassLoader(before);
        }
    }
}
