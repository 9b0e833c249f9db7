package quincespar.settings;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Numbers with units, as the operators' file has them. */
final class Quantity {
    private static final Pattern TIME = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?)(ms|s|m|h)");
    private static final Pattern PERCENT = Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,6})?)%");
    private static final Pattern COUNT = Pattern.compile("[0-9]{1,9}");
    private static final Pattern SIZE = Pattern.compile("([0-9]{1,9})([kmg]?)");
    private static final double KILO = 1024, MEGA = KILO * KILO, GIGA = MEGA * KILO;
    private static final double SECOND = 1000, MINUTE = 60 * SECOND, HOUR = 60 * MINUTE;

    private Quantity() { }

    /** The value in the type's base unit (milliseconds, bytes, per cent, one); NaN where the text is none. */
    static double read(Keyword.Type type, String text) {
        switch (type) {
            case TIME -> {
                Matcher m = TIME.matcher(text);
                if (!m.matches()) {
                    return Double.NaN;
                }
                double unit = switch (m.group(2)) {
                    case "s" -> SECOND;
                    case "m" -> MINUTE;
                    case "h" -> HOUR;
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
                    case "k" -> KILO;
                    case "m" -> MEGA;
                    case "g" -> GIGA;
                    default -> 1;
                };
            }
            case COUNT -> {
                return COUNT.matcher(text).matches() ? Double.parseDouble(text) : Double.NaN;
            }
            default -> throw new IllegalArgumentException("no quantity: " + type);
        }
    }

    /** Bytes in the largest unit that gives a whole number. */
    static String size(double bytes) {
        if (bytes >= GIGA && bytes % GIGA == 0) {
            return Math.round(bytes / GIGA) + "g";
        }
        if (bytes >= MEGA && bytes % MEGA == 0) {
            return Math.round(bytes / MEGA) + "m";
        }
        return bytes >= KILO && bytes % KILO == 0 ? Math.round(bytes / KILO) + "k" : Long.toString(Math.round(bytes));
    }

    /** Milliseconds in the largest unit that gives a whole number. */
    static String time(double ms) {
        if (ms >= HOUR && ms % HOUR == 0) {
            return Math.round(ms / HOUR) + "h";
        }
        if (ms >= MINUTE && ms % MINUTE == 0) {
            return Math.round(ms / MINUTE) + "m";
        }
        return ms >= SECOND && ms % SECOND == 0 ? Math.round(ms / SECOND) + "s" : Math.round(ms) + "ms";
    }
}
