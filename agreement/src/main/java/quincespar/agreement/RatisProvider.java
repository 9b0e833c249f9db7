package quincespar.agreement;

import java.io.IOException;
import java.util.function.Consumer;
import quincespar.fleet.Agreement;
import quincespar.fleet.FleetConfig;
import quincespar.fleet.Snapshot;

/** Found by the front end where a fleet is switched on. */
public final class RatisProvider implements Agreement.Provider {
    @Override
    public Agreement open(FleetConfig plan, String self, Consumer<Snapshot> applied) throws IOException {
        Thread caller = Thread.currentThread();
        ClassLoader before = caller.getContextClassLoader();
        caller.setContextClassLoader(RatisProvider.class.getClassLoader()); // by which the library finds its parts, for good
        try {
            return new RatisAgreement(plan, self, applied);
        } finally {
            caller.setContextClassLoader(before);
        }
    }
}
