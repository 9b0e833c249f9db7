package quincespar.faultbench.report;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import quincespar.faultbench.check.Event;
import quincespar.faultbench.check.History.Request;
import quincespar.faultbench.check.History.StatusSample;
import quincespar.faultbench.check.History;
import quincespar.faultbench.schedule.Schedule;

/** Renders a run as a self-contained HTML page: a lane for each process, faults as bars, terms and requests over time. */
public final class ReportPage {
    private static final int WIDTH = 1200, LEFT = 60, LANE = 26, CHART = 80;
    private static final String[] TERMS = {"#4e79a7", "#f28e2b", "#59a14f", "#b07aa1", "#76b7b2", "#edc948"};
    private static final Map<String, String> ENDS = Map.of("killed", "started", "stopped", "continued", "disk full",
            "disk has room", "told to stop", "started");

    private final StringBuilder out = new StringBuilder();
    private final long from;
    private final long to;

    private ReportPage(long from, long to) {
        this.from = from;
        this.to = Math.max(to, from + 1);
    }

    /** Returns the HTML of a run. */
    public static String of(History h, List<String> problems, Schedule s) {
        long last = h.statusSamples().stream().mapToLong(StatusSample::at).max().orElse(h.startNanos());
        return new ReportPage(h.startNanos(), last).draw(h, problems, s);
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
    }

    private double x(long at) {
        return LEFT + (double) (WIDTH - LEFT - 10) * (at - from) / (to - from);
    }

    private void rect(long a, long b, double y, double height, String colour, String title) {
        out.append(String.format(Locale.ROOT, "<rect x='%.1f' y='%.1f' width='%.1f' height='%.1f' fill='%s'><title>%s</title>"
                + "</rect>%n", x(a), y, Math.max(1, x(b) - x(a)), height, colour, escaped(title)));
    }

    private void text(double x, double y, String what) {
        out.append(String.format(Locale.ROOT, "<text x='%.1f' y='%.1f'>%s</text>%n", x, y, escaped(what)));
    }

    private String draw(History h, List<String> problems, Schedule s) {
        List<String> lanes = h.statusSamples().stream().map(StatusSample::node).distinct().sorted().toList();
        int height = (lanes.size() + 1) * LANE + CHART + 60;
        out.append("<!doctype html><meta charset='utf-8'><title>fault bench</title><style>body{font:13px sans-serif;margin:20px}"
                + "text{font:11px sans-serif}pre{background:#f4f4f4;padding:8px}.bad{color:#b00}</style><h1>")
                .append(problems.isEmpty() ? "All held" : "Broken").append("</h1><ul class='bad'>");
        problems.forEach(p -> out.append("<li>").append(escaped(p)).append("</li>"));
        out.append("</ul><svg width='").append(WIDTH).append("' height='").append(height).append("'>");
        for (int i = 0; i < lanes.size(); i++) {
            lane(h, lanes.get(i), i * LANE + 4);
        }
        links(h, s, lanes.size() * LANE + 4);
        served(h.requests(), (lanes.size() + 1) * LANE + 10);
        axis(height - 20);
        out.append("</svg><p>Each lane is a process. The colour shows its term, opaque while it leads and pale while it follows,"
                + " grey while it reaches no quorum; black bars: down, red bars: paused, brown bars:"
                + " disk full. Below: link faults, then answers over time (blue: served, orange: other).</p><pre>")
                .append(escaped(s.text())).append("</pre>");
        return out.toString();
    }

    private void lane(History h, String node, double y) {
        text(4, y + LANE / 2.0 + 2, node);
        StatusSample previous = null;
        for (StatusSample sample : h.statusSamples()) {
            if (!sample.node().equals(node)) {
                continue;
            }
            if (previous != null) {
                boolean leads = previous.voting() && previous.leader().equals(node);
                out.append("<g opacity='").append(leads ? 1 : 0.35).append("'>");
                rect(previous.at(), sample.at(), y, LANE - 6.0,
                        previous.quorumReachable() ? TERMS[(int) (previous.term() % TERMS.length)] : "#bbb",
                        node + " term " + previous.term() + " version " + previous.version() + " " + previous.phase());
                out.append("</g>");
            }
            previous = sample;
        }
        Map<String, Long> open = new LinkedHashMap<>();
        for (Event e : h.events()) {
            if (!e.subject().equals(node)) {
                continue;
            }
            if (ENDS.containsKey(e.kind())) {
                open.put(e.kind(), e.at());
            }
            for (String kind : new ArrayList<>(open.keySet())) {
                if (ENDS.get(kind).equals(e.kind())) {
                    span(kind, open.remove(kind), e.at(), y);
                }
            }
        }
        open.forEach((kind, at) -> span(kind, at, to, y));
    }

    private void span(String kind, long a, long b, double y) {
        rect(a, b, y + LANE / 2.0, LANE / 2.0 - 6, kind.equals("stopped") ? "#d33" : kind.equals("disk full") ? "#963" : "#222",
                kind);
    }

    private void links(History h, Schedule s, double y) {
        text(4, y + LANE / 2.0 + 2, "links");
        long begins = h.events().stream().filter(e -> e.kind().equals("begins")).mapToLong(Event::at).findFirst().orElse(from);
        Map<String, Schedule.Step> open = new LinkedHashMap<>();
        for (Schedule.Step step : s.steps()) {
            long at = begins + step.atMillis() * 1_000_000L;
            if (step.verb() == Schedule.Verb.MEND) {
                for (String key : new ArrayList<>(open.keySet())) {
                    if (step.target().equals("*") || open.get(key).target().equals(step.target())) {
                        Schedule.Step o = open.remove(key);
                        rect(begins + o.atMillis() * 1_000_000L, at, y, LANE - 8.0, "#d9a4a4", o.toString());
                    }
                }
            } else if (step.target().contains(">")) {
                open.put(step.toString(), step);
            }
        }
    }

    private void served(List<Request> requests, double y) {
        int buckets = 120;
        int[] good = new int[buckets];
        int[] bad = new int[buckets];
        for (Request r : requests) {
            int at = (int) Math.min(buckets - 1, Math.max(0, buckets * (r.endedAt() - from) / (to - from)));
            if (r.answer().equals("served")) {
                good[at]++;
            } else {
                bad[at]++;
            }
        }
        int maxAnswers = 1;
        for (int i = 0; i < buckets; i++) {
            maxAnswers = Math.max(maxAnswers, good[i] + bad[i]);
        }
        for (int i = 0; i < buckets; i++) {
            long a = from + (to - from) * i / buckets;
            long b = from + (to - from) * (i + 1) / buckets;
            double up = (double) CHART * good[i] / maxAnswers;
            double rest = (double) CHART * bad[i] / maxAnswers;
            rect(a, b, y + CHART - up, up, "#4e79a7", good[i] + " served");
            rect(a, b, y + CHART - up - rest, rest, "#f28e2b", bad[i] + " refused, failed or unanswered");
        }
    }

    private void axis(double y) {
        for (int second = 0; from + second * 1_000_000_000L < to; second++) {
            text(x(from + second * 1_000_000_000L), y, second + " s");
        }
    }
}
