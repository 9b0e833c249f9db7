package quincespar.settings;

import java.util.EnumMap;
import java.util.Map;

/** What is set, each by the file or by its default. */
public final class Settings {
    private final Map<Keyword, String> texts;

    Settings(Map<Keyword, String> texts) {
        this.texts = new EnumMap<>(Keyword.class);
        this.texts.putAll(texts);
    }

    /** All by default, as where there is no file. */
    public static Settings defaults() {
        return new Settings(Map.of());
    }

    /** A quantity in its base unit: milliseconds, bytes, per cent, one. */
    public double number(Keyword k) {
        return Quantity.read(k.type, text(k));
    }

    /** A count. */
    public int count(Keyword k) {
        return (int) number(k);
    }

    /** A word or text, as written, without its quotes. */
    public String text(Keyword k) {
        return texts.getOrDefault(k, k.defaultText);
    }

    /** A file that sets everything to its default, each line with its meaning: a template, and the reference. */
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
