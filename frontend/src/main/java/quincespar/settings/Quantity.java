package quincespar.settings;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats numbers with units, as in the operators' settings file. */
final class Quantity {
    private static final Pattern TIME = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?)(ms|s|m|h)");
    private static final Pattern PERCENT = Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,6})?)%");
    private static final Pattern COUNT = Pattern.compile("[0-9]{1,9}");
    private static final Pattern SIZE = Pattern.compile("([0-9]{1,9})([kmg]?)");
    private static final double KIB = 1024;
    private static final double MIB = KIB * KIB;
    private static final double GIB = MIB * KIB;
    private static final double SECOND_MS = 1000;
    private static final double MINUTE_MS = 60 * SECOND_MS;
    private static final double HOUR_MS = 60 * MINUTE_MS;

    private Quantity() { }

    /** Parses a value into the type's base unit (milliseconds, bytes, per cent, one); NaN if the text is invalid. */
    static double read(Keyword.Type type, String text) {
        switch (type) {
            case TIME -> {
                Matcher m = TIME.matcher(text);
                if (!m.matches()) {
                    return Double.NaN;
                }
                double unit = switch (m.group(2)) {
                    case "s" -> SECOND_MS;
                    case "m" -> MINUTE_MS;
                    case "h" -> HOUR_MS;
                    default -> 1;
                };
                return Double.parseDouble(m.group(1)) * unit;
            }
            case PERCENT -> {
                Matcher m = PERCENT.matcher(text);
                return m.matches() ? Double.parseDouble(m.group(1)) : Double.NaN;
            }
            case SIZE -> {
                Matcher m = SIZE.matcher(text);
                if (!m.matches()) {
                    return Double.NaN;
                }
                return Double.parseDouble(m.group(1)) * switch (m.group(2)) {
                    case "k" -> KIB;
                    case "m" -> MIB;
                    case "g" -> GIB;
                    default -> 1;
                };
            }
            case COUNT -> {
                return COUNT.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
            }
            default -> throw new IllegalArgumentException("not a quantity: " + type);
        }
    }

    /** Formats bytes in the largest unit that gives a whole number. */
    static String size(double bytes) {
        if (bytes >= GIB && bytes % GIB == 0) {
            return Math.round(bytes / GIB) + "g";
        }
        if (bytes >= MIB && bytes % MIB == 0) {
            return Math.round(bytes / MIB) + "m";
        }
        return bytes >= KIB && bytes % KIB == 0 ? Math.round(bytes / KIB) + "k" : Long.toString(Math.round(bytes));
    }

    /** Formats milliseconds in the largest unit that gives a whole number. */
    static String time(double ms) {
        if (ms >= HOUR_MS && ms % HOUR_MS == 0) {
            return Math.round(ms / HOUR_MS) + "h";
        }
        if (ms >= MINUTE_MS && ms % MINUTE_MS == 0) {
            return Math.round(ms / MINUTE_MS) + "m";
        }
        return ms >= SECOND_MS && ms % SECOND_MS == 0 ? Math.round(ms / SECOND_MS) + "s" : Math.round(ms) + "ms";
    }
}
