package quincespar.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import quincespar.protocol.FleetEvent.Phase;
import quincespar.routing.SimulatedRouter.Spec;

/** What requests and attempts know of zones and kinds means the same after any reload, with the real decision module. */
class PlacesTest {
    private static final int ENGINES_PER_PLACE = 2, FIRST_PORT = 10;
    private static final List<String> ZONES = List.of("east", "west", "north", "south");

    private static RoutingSettings settings(String zones, Map<String, String> further) {
        return SimulatedRouter.settings(with(further, "localities", zones), 3, new Spec("load", "keyed"));
    }

    private static Map<String, String> with(Map<String, String> pairs, String key, String value) {
        Map<String, String> out = new HashMap<>(pairs);
        out.put(key, value);
        return out;
    }

    private static RoutingSettings zoneScoped(String zones) {
        return settings(zones, Map.of("requestClasses.0.keyScope", "zone"));
    }

    /** A router with two engines in each zone. */
    private static SimulatedRouter router(RoutingSettings settings, List<String> zones) {
        SimulatedRouter router = new SimulatedRouter(settings);
        router.changes(SimulatedRouter.member("s-1", Phase.REMOVED), SimulatedRouter.member("s-2", Phase.REMOVED));
        zones.forEach(zone -> join(router, zone, "large"));
        return router;
    }

    private static void join(SimulatedRouter router, String zone, String kind) {
        for (int i = 0; i < ENGINES_PER_PLACE; i++) {
            int port = FIRST_PORT * (1 + ZONES.indexOf(zone)) + i;
            router.changes(SimulatedRouter.engineAt(zone, kind, 0, "s-" + zone + i, port));
        }
    }

    private static Set<String> zonesOf(SimulatedRouter router, String txn) {
        return router.portsOf(txn).stream().map(port -> ZONES.get(port / FIRST_PORT - 1)).collect(Collectors.toSet());
    }

    private static void failAllFirstAttempts(SimulatedRouter router) {
        for (int i = router.running.size(); i > 0; i--) {
            router.engineAnswers(0, false);
        }
    }

    private static void assertAllSentTwiceInOneZone(SimulatedRouter router) {
        assertThat(router.sends).isNotEmpty().allSatisfy((txn, count) -> {
            assertThat(count).isGreaterThan(1);
            assertThat(zonesOf(router, txn)).hasSize(1);
        });
    }

    /** Guards against a keyed request that is repeated in another zone, which does not know its key. */
    @Test
    void aRepeatStaysInItsZoneAfterAReloadThatNamesAnotherInFront() {
        SimulatedRouter router = router(zoneScoped("east,west"), List.of("east", "west"));
        Collections.nCopies(6, "load").forEach(router::request);
        router.reload(zoneScoped("north,east,west"));
        join(router, "north", "large");
        failAllFirstAttempts(router);
        assertAllSentTwiceInOneZone(router);
    }

    /** Guards against an engine in a zone that the settings do not name being taken for one in the first zone. */
    @Test
    void anUnnamedZoneIsNoneOfTheNamedOnes() {
        SimulatedRouter router = router(zoneScoped("east,west"), List.of("east", "west"));
        Collections.nCopies(6, "load").forEach(router::request);
        join(router, "north", "large");
        failAllFirstAttempts(router);
        assertAllSentTwiceInOneZone(router);
        assertThat(router.effects).filteredOn(e -> e instanceof Effect.Log l && l.line().contains("zone 'north'")).hasSize(1);
        assertThat(router.reducer.retainedCounts()).containsEntry("engines.unnamed_places", 2); // the first engines had no zone
        router.reload(zoneScoped("south,north,west,east"));
        assertThat(router.reducer.retainedCounts()).containsEntry("engines.unnamed_places", 1);
        Collections.nCopies(6, "load").forEach(router::request);
        failAllFirstAttempts(router);
        assertAllSentTwiceInOneZone(router);
    }

    /** Guards against a class that is sent to places it is not bound to, after a reload or by an unnamed kind. */
    @Test
    void aClassIsSentOnlyToThePlacesItIsBoundTo() {
        Map<String, String> bound = Map.of("requestClasses.0.allowedIn", "west", "requestClasses.0.servedOn", "large");
        SimulatedRouter router = router(settings("east,west", with(bound, "kinds", "large,small")), List.of("east", "west"));
        join(router, "west", "huge"); // the same engines, of a kind that is not named
        router.request("load");
        assertThat(router.running).isEmpty();
        router.reload(settings("north,west,east", with(bound, "kinds", "huge,small,large")));
        assertThat(router.running).isEmpty();
        join(router, "west", "large");
        router.advance(50);
        assertThat(zonesOf(router, "0000000000000001")).containsExactly("west");
    }

    /** Guards against a cold or narrow engine being taken for a wide one because the kinds are listed in another order. */
    @Test
    void theCoresOfAKindFollowItsName() {
        RoutingSettings first = settings("", Map.of("kinds", "large,small", "extra.sizeCores", "16,4"));
        RoutingSettings second = settings("", Map.of("kinds", "huge,small", "extra.sizeCores", "64,8")).keepingNumbersOf(first);
        assertThat(second.kinds()).containsExactly("large", "small", "huge");
        assertThat(second.decision().engineTraits().coresByKind()).containsExactly(16.0, 8.0, 64.0);
    }

    /** Guards against any order of reloads, in which zones are listed anew, dropped and brought back. */
    @Property(tries = 100, seed = "20261206")
    void repeatsStayInTheirZoneUnderAnyReloads(@ForAll long seed) {
        Random random = new Random(seed);
        SimulatedRouter router = router(zoneScoped("east,west"), ZONES);
        for (int i = 0; i < 60; i++) {
            int operation = random.nextInt(10);
            if (operation < 4) {
                router.request("load");
            } else if (operation < 8 && !router.running.isEmpty()) {
                router.engineAnswers(random.nextInt(100), random.nextInt(3) == 0);
            } else if (operation >= 8) {
                List<String> zones = new ArrayList<>(ZONES);
                Collections.shuffle(zones, random);
                router.reload(zoneScoped(String.join(",", zones.subList(0, 1 + random.nextInt(ZONES.size())))));
            }
        }
        router.settle();
        assertThat(router.sends.keySet()).allSatisfy(txn -> assertThat(zonesOf(router, txn)).hasSize(1));
    }
}
