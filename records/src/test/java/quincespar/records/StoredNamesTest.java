package quincespar.records;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

class StoredNamesTest {
    /** Records under the names with which they were stored. */
    interface Before {
        enum Light { RED, GREEN }

        record Point(int x, double y) { }

        sealed interface Shape permits Box, Circle, Dot { }

        record Box(List<Before.Point> corners) implements Shape { }

        record Circle(Before.Point centre, Light light) implements Shape { }

        record Dot() implements Shape { }
    }

    /** The same records renamed, so that their alphabetical order changes. */
    interface After {
        enum Signal { STOP, GREEN }

        record Place(int column, double y) { }

        sealed interface Figure permits Polygon, Arc, Dot { }

        record Polygon(List<After.Place> corners) implements Figure { }

        record Arc(After.Place centre, Signal light) implements Figure { }

        record Dot() implements Figure { }
    }

    private static final StoredNames STORED_NAMES = StoredNames.none()
            .type(After.class, "Before")
            .type(After.Signal.class, "Light").constant(After.Signal.STOP, "RED")
            .type(After.Place.class, "Point").component(After.Place.class, "column", "x")
            .type(After.Figure.class, "Shape").type(After.Polygon.class, "Box").type(After.Arc.class, "Circle");

    private static final String SCHEMA = """
            Shape = Box Circle Dot\s
            Box(corners StoredNamesTest$Before$Point> )
            Circle(centre StoredNamesTest$Before$Point light Light[RED, GREEN] )
            Dot()
            Point(x int y double )
            """;

    private final RecordCodec before = new RecordCodec(Before.Shape.class);
    private final RecordCodec after = new RecordCodec(STORED_NAMES, After.Figure.class);

    @Test
    void renamedRecordsKeepTheirSchema() {
        assertEquals(SCHEMA, before.schema());
        assertEquals(SCHEMA, after.schema());
    }

    @Test
    void renamedRecordsKeepTheirBytes() throws MalformedRecordException {
        byte[] box = before.write(new Before.Box(List.of(new Before.Point(1, 2))));
        byte[] circle = before.write(new Before.Circle(new Before.Point(3, 4), Before.Light.RED));
        assertArrayEquals(box, after.write(new After.Polygon(List.of(new After.Place(1, 2)))));
        assertArrayEquals(circle, after.write(new After.Arc(new After.Place(3, 4), After.Signal.STOP)));
        assertEquals(new After.Polygon(List.of(new After.Place(1, 2))), after.read(box, After.Figure.class));
        assertEquals(new After.Arc(new After.Place(3, 4), After.Signal.STOP), after.read(circle, After.Figure.class));
    }

    @Test
    void renamedRecordsKeepTheirText() {
        Before.Box box = new Before.Box(List.of(new Before.Point(1, -0.0), new Before.Point(2, Double.NaN)));
        assertEquals(box.toString(), before.toText(box));
        assertEquals(box.toString(), after.toText(new After.Polygon(List.of(new After.Place(1, -0.0),
                new After.Place(2, Double.NaN)))));
        List<Before.Shape> list = List.of(new Before.Circle(new Before.Point(3, 4), Before.Light.RED), new Before.Dot(),
                new Before.Box(List.of()), new Before.Box(null));
        assertEquals(list.toString(), after.toText(List.of(new After.Arc(new After.Place(3, 4), After.Signal.STOP),
                new After.Dot(), new After.Polygon(List.of()), new After.Polygon(null))));
    }

    @Test
    void withoutTheTableAnotherNameIsAnotherSchemaAndAnotherNumber() {
        RecordCodec unnamed = new RecordCodec(After.Figure.class);
        assertNotEquals(SCHEMA, unnamed.schema());
        assertNotEquals(before.write(new Before.Dot())[1], unnamed.write(new After.Dot())[1]);
    }

    @Test
    void namesThatDoNotExistOrAreGivenTwiceAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> STORED_NAMES.component(After.Place.class, "x", "column"));
        assertThrows(IllegalArgumentException.class, () -> STORED_NAMES.component(After.Place.class, "column", "x"));
        assertThrows(IllegalArgumentException.class, () -> STORED_NAMES.type(After.class, "Other"));
        assertThrows(IllegalArgumentException.class, () -> STORED_NAMES.constant(After.Signal.STOP, "BLUE"));
        assertThrows(IllegalArgumentException.class, () -> STORED_NAMES.constant(After.Signal.GREEN, " "));
    }
}
