package quincespar.faultbench.report;

import java.util.Locale;
import java.util.Map;

/** Draws time series as a self-contained SVG line chart. */
public final class LineChart {
    private static final int WIDTH = 900, HEIGHT = 300, LEFT = 60, BOTTOM = 40;
    private static final String[] COLOURS = {"#4e79a7", "#e15759", "#59a14f", "#b07aa1"};

    private LineChart() { }

    /**
     * Returns the SVG document.
     *
     * @param series one value per second, by name of the series
     */
    public static String of(String title, Map<String, double[]> series) {
        int seconds = series.values().stream().mapToInt(s -> s.length).max().orElse(1);
        double maxValue = Math.max(1, series.values().stream().flatMapToDouble(java.util.Arrays::stream).max().orElse(1));
        StringBuilder out = new StringBuilder(String.format(Locale.ROOT,
                "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' font-family='sans-serif' font-size='12'>"
                + "<text x='%d' y='16' font-size='14'>%s</text>%n", WIDTH, HEIGHT + BOTTOM, LEFT, title));
        for (int tenth = 0; tenth <= 10; tenth += 2) {
            double y = HEIGHT - (HEIGHT - 30) * tenth / 10.0;
            out.append(String.format(Locale.ROOT,
                    "<line x1='%d' x2='%d' y1='%.1f' y2='%.1f' stroke='#ddd'/><text x='4' y='%.1f'>%.0f</text>%n",
                    LEFT, WIDTH, y, y, y + 4, maxValue * tenth / 10));
        }
        for (int s = 0; s <= seconds; s += 5) {
            out.append(String.format(Locale.ROOT, "<text x='%.1f' y='%d'>%d s</text>%n", x(s, seconds), HEIGHT + 16, s));
        }
        int number = 0;
        for (Map.Entry<String, double[]> e : series.entrySet()) {
            String colour = COLOURS[number % COLOURS.length];
            out.append("<polyline fill='none' stroke-width='2' stroke='").append(colour).append("' points='");
            for (int s = 0; s < e.getValue().length; s++) {
                out.append(String.format(Locale.ROOT, "%.1f,%.1f ", x(s, seconds),
                        HEIGHT - (HEIGHT - 30) * e.getValue()[s] / maxValue));
            }
            out.append(String.format(Locale.ROOT, "'/>%n<text x='%d' y='%d' fill='%s'>%s</text>%n", LEFT + 220 * number++,
                    HEIGHT + 34, colour, e.getKey()));
        }
        return out.append("</svg>\n").toString();
    }

    private static double x(double second, int seconds) {
        return LEFT + (WIDTH - LEFT - 10) * second / seconds;
    }
}
