package quincespar.settings;

import java.util.EnumMap;
import java.util.Map;

/** The values of all settings, from the file or by default. */
public final class Settings {
    private final Map<Keyword, String> texts;

    Settings(Map<Keyword, String> texts) {
        this.texts = new EnumMap<>(Keyword.class);
        this.texts.putAll(texts);
    }

    /** All settings with their defaults. */
    public static Settings defaults() {
        return new Settings(Map.of());
    }

    /** The value of a quantity in its base unit: milliseconds, bytes, per cent, one. */
    public double number(Keyword k) {
        return Quantity.read(k.type, text(k));
    }

    /** The value of a count. */
    public int count(Keyword k) {
        return (int) number(k);
    }

    /** The value as written in the file, without quotes. */
    public String text(Keyword k) {
        return texts.getOrDefault(k, k.defaultText);
    }

    /** The text of a file that sets everything to its default, with descriptions as comments: the reference of all settings. */
    public static String template() {
        StringBuilder out = new StringBuilder();
        for (String block : Keyword.blocks()) {
            out.append(out.length() == 0 ? "" : "\n").append(block).append(" {\n");
            for (Keyword k : Keyword.in(block)) {
                out.append("    # ").append(k.description).append(" Takes ").append(k.expected());
                out.append(k.isQuantity() ? ", " + k.range() : "").append(".\n");
                out.append("    ").append(k.key).append(' ').append(k.written()).append('\n');
            }
            out.append("}\n");
        }
        return out.toString();
    }
}
