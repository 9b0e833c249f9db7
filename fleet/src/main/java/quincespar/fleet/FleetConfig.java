package quincespar.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The configuration of a fleet, the same for all its instances but for {@code addressOverrides}.
 *
 * @param group the fleet's name: messages between instances of different groups are refused
 * @param voters the address of each voter, by name
 * @param addressOverrides the address at which this instance reaches a voter, where it differs from the voter's own
 * @param renewIntervalMs how often a session is renewed
 * @param suspectAfterMs an instance is suspected if its session has not been renewed for longer
 * @param goneAfterMs its session expires if it has not been renewed for longer
 * @param electionTimeoutMs a voter starts an election if it has not heard from a leader for one to two times as long
 * @param shareGrowthDelayMs how long fewer instances must be active before shares grow
 */
public record FleetConfig(String group, Map<String, String> voters, Map<String, String> addressOverrides, double renewIntervalMs,
        double suspectAfterMs, double goneAfterMs, double electionTimeoutMs, double shareGrowthDelayMs) {

    private static final int MIN_PORT = 1, MAX_PORT = 65_535;
    private static final List<Integer> VOTER_COUNTS = List.of(1, 3, 5);
    /** Missed renewals, or lost elections, that a session must outlast before its instance is suspected. */
    private static final int MIN_SUSPECT_RATIO = 3;

    /** Parses names with addresses, as {@code n1=10.0.0.1:7000,n2=...}; adds one line to {@code problems} for each error. */
    public static Map<String, String> parseAddresses(String text, String setting, List<String> problems) {
        Map<String, String> out = new LinkedHashMap<>();
        for (String part : text.isBlank() ? new String[0] : text.split(",")) {
            int at = part.indexOf('=');
            String name = at < 0 ? "" : part.substring(0, at).strip();
            String address = part.substring(at + 1).strip();
            if (name.isEmpty()) {
                problems.add(setting + ": '" + part.strip() + "' is not NAME=HOST:PORT");
            } else if (!isAddress(address)) {
                problems.add(setting + ": '" + address + "' of " + name + " is not HOST:PORT");
            } else if (out.put(name, address) != null) {
                problems.add(setting + ": " + name + " is listed twice");
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
        return port >= MIN_PORT && port <= MAX_PORT;
    }

    /** What makes this configuration unusable, one line each; empty if it is valid. */
    public List<String> problems() {
        List<String> out = new ArrayList<>();
        if (!VOTER_COUNTS.contains(voters.size())) {
            out.add("fleet voters must be 1, 3 or 5, not " + voters.size() + ": an even number tolerates no more failures");
        }
        Map<String, String> owners = new HashMap<>();
        voters.forEach((name, address) -> {
            String other = owners.put(address, name);
            if (other != null) {
                out.add("fleet voters " + other + " and " + name + " share the address " + address);
            }
        });
        addressOverrides.keySet().stream().filter(n -> !voters.containsKey(n)).forEach(n -> out.add("fleet via names " + n
                + ", which is not a voter"));
        if (suspectAfterMs < MIN_SUSPECT_RATIO * renewIntervalMs) {
            out.add("fleet suspect must be at least three times renew, so that one lost renewal changes no standing");
        }
        if (goneAfterMs < suspectAfterMs + renewIntervalMs) {
            out.add("fleet gone must be at least suspect and renew together");
        }
        if (suspectAfterMs < MIN_SUSPECT_RATIO * electionTimeoutMs) {
            out.add("fleet suspect must be at least three times election, or all are suspected at a change of leader");
        }
        return out;
    }

    /** The address at which this instance reaches a voter; null if there is no such voter. */
    public String addressOf(String voter) {
        return addressOverrides.getOrDefault(voter, voters.get(voter));
    }

    /** Whether the instance of that name is a voter. */
    public boolean isVoter(String name) {
        return voters.containsKey(name);
    }
}
