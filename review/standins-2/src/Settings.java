import java.util.List;

/** Configurations like those of a small deployment. */
final class Settings {
    String localities = "\"head-office\"";
    int myZone;
    String kinds = "\"large-16\",\"standard-12\"";
    String cores = "16.0,12.0";
    int balancers = 1;
    int sockets = 1024;
    /** Class lookup first, then report and load; a case may replace them. */
    String classes = requestClass("lookup", 800, 4000, 1, "safe", "all", "") + ","
            + requestClass("report", 3000, 15000, 7.5, "safe", "all", "") + ","
            + requestClass("load", 3000, 25000, 10, "unsafe", "all", "");
    String threads = "1,2,2";
    String writesTables = "false,false,true";
    String waitsForLoads = "true,false,false";
    String limits = "";
    String rules = "\"answerSlack\":20.0,\"askEvery\":10000.0,\"cold\":15000.0,\"coldShare\":0.31,\"drainGrace\":1000.0,"
            + "\"fall\":1500.0,\"fallMultiple\":4.0";

    static String requestClass(String name, int slo, int hardLimit, double points, String effect, String scope, String more) {
        return "{\"name\":\"" + name + "\",\"slo\":" + slo + ".0,\"hardLimit\":" + hardLimit + ".0,\"points\":" + points
                + ",\"effect\":\"" + effect + "\",\"keyScope\":\"" + scope + "\",\"aimStretch\":2.5,\"lateWorth\":0.5,"
                + "\"repeatWindow\":12000.0,\"streaming\":false" + more + "}";
    }

    private static String list(String values) {
        return "[" + values + "]";
    }

    /** The text of a configuration. */
    String text(int port, String changeLog, String known) {
        return "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":192,\"sockets\":" + sockets + "},\"changelog\":\"" + changeLog + "\",\"known\":" + known
                + ",\"settings\":{\"balancers\":" + balancers + ",\"me\":0,\"myZone\":" + myZone + ",\"tick\":5.0,\"family\":\"queries\","
                + "\"discovery\":\"pushed\",\"countedBy\":\"request\",\"weightSource\":\"rough\",\"overShareWorth\":0.1,"
                + "\"tier\":0,\"tiers\":[\"query-fleet\"],\"localities\":" + list(localities) + ",\"kinds\":" + list(kinds)
                + ",\"clients\":{\"marksRetry\":true},\"projects\":[{\"name\":\"departures-main\",\"quotaPerS\":690.0,\"share\":0.57},"
                + "{\"name\":\"arrivals-counter\",\"quotaPerS\":520.0,\"share\":0.43}],\"requestClasses\":" + list(classes)
                + ",\"extra\":{\"sizeCores\":" + list(cores) + ",\"memoryByKindMb\":[32768.0,24576.0],\"classThreads\":" + list(threads)
                + ",\"writesTables\":" + list(writesTables) + ",\"waitsForLoads\":" + list(waitsForLoads)
                + ",\"takesGrants\":false,\"lanesCount\":false,\"largestShare\":0.4,\"notePeriod\":0.0,\"tellsCost\":false,"
                + "\"onShortage\":\"overcommit\"},\"limits\":{\"cancelling\":true,\"connIdle\":15000.0,\"connectTimeout\":250.0,"
                + "\"maxAttempts\":5,\"maxStreams\":100,\"openCap\":30590,\"probes\":false,\"mayTell\":false,\"secondCopies\":false,"
                + "\"retryAfter\":false,\"maxRetryAfter\":1000.0" + limits + "},\"penalties\":{\"lateFail\":0.08,\"waste\":0.06},"
                + "\"reporting\":{\"how\":\"off\",\"fields\":[]},\"rules\":{" + rules + "}}}";
    }

    static List<String> known(ChangeLog log) {
        return List.of(log.since(0));
    }
}
