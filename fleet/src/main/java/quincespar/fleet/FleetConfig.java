package quincespar.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * How an installation wants its fleet to be.
 *
 * @param group the fleet's name: instances of another have nothing to say here
 * @param voters the addresses of those that vote, by name
 * @param via at which address a voter is reached from here, where that is another than its own
 * @param renewMs how often a session is renewed
 * @param suspectMs not renewed for longer, an instance is suspected
 * @param goneMs and for longer than this, gone
 * @param electionMs a voter that has not heard of a leader for so long asks to be one, up to twice as long
 * @param holdMs how long fewer instances must be known before shares grow
 */
public record FleetConfig(String group, Map<String, String> voters, Map<String, String> addressOverrides, double renewIntervalMs, double suspectAfterMs,
        double goneAfterMs, double electionTimeoutMs, double shareGrowthDelayMs) {

    private static final int LEAST_PORT = 1, MOST_PORT = 65_535;
    private static final List<Integer> VOTERS = List.of(1, 3, 5);

    /** Names and addresses as {@code n1=10.0.0.1:7000,n2=...}; what is wrong goes to {@code problems}, a line each. */
    public static Map<String, String> parseAddresses(String text, String what, List<String> problems) {
        Map<String, String> out = new LinkedHashMap<>();
        for (String part : text.isBlank() ? new String[0] : text.split(",")) {
            int at = part.indexOf('=');
            String name = at < 0 ? "" : part.substring(0, at).strip();
            String address = part.substring(at + 1).strip();
            if (name.isEmpty()) {
                problems.add(what + ": '" + part.strip() + "' is no NAME=HOST:PORT");
            } else if (!isAddress(address)) {
                problems.add(what + ": '" + address + "' of " + name + " is no HOST:PORT");
            } else if (out.put(name, address) != null) {
                problems.add(what + ": " + name + " is named twice");
            }
        }
        return out;
    }

    private static boolean isAddress(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 1 || !address.substring(colon + 1).matches("[0-9]{1,5}")) {
            return false;
        }
        int port = Integer.parseInt(address.substring(colon + 1));
        return port >= LEAST_PORT && port <= MOST_PORT;
    }

    /** What can't work in this plan, a line each; none where all is well. */
    public List<String> problems() {
        List<String> out = new ArrayList<>();
        if (!VOTERS.contains(voters.size())) {
            out.add("fleet voters are 1, 3 or 5, not " + voters.size() + ": with an even number a majority is no smaller");
        }
        Map<String, String> owners = new HashMap<>();
        voters.forEach((name, address) -> {
            String other = owners.put(address, name);
            if (other != null) {
                out.add("fleet voters " + other + " and " + name + " share the address " + address);
            }
        });
        addressOverrides.keySet().stream().filter(n -> !voters.containsKey(n)).forEach(n -> out.add("fleet via names " + n
                + ", which is no voter"));
        if (suspectAfterMs < 3 * renewIntervalMs) {
            out.add("fleet suspect must be three times renew at least, so that one lost renewal moves nobody");
        }
        if (goneAfterMs < suspectAfterMs + renewIntervalMs) {
            out.add("fleet gone must be suspect and renew together at least");
        }
        if (suspectAfterMs < 3 * electionTimeoutMs) {
            out.add("fleet suspect must be three times election at least, or a change of leader makes all suspected");
        }
        return out;
    }

    /** Where a voter is reached from here. */
    public String addressOf(String voter) {
        return addressOverrides.getOrDefault(voter, voters.get(voter));
    }

    /** Whether it is one of those that vote. */
    public boolean isVoter(String name) {
        return voters.containsKey(name);
    }
}
