package quincespar;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaField;
import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.dependencies.SliceAssignment;
import com.tngtech.archunit.library.dependencies.SliceIdentifier;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import org.junit.jupiter.api.Test;

class LayersTest {
    private static final String DECISION = "quincespar.decision..";

    /** One slice for each top-level class, with all classes nested in it. */
    private static final SliceAssignment TOP_LEVEL_CLASSES = new SliceAssignment() {
        @Override
        public SliceIdentifier getIdentifierOf(JavaClass c) {
            return SliceIdentifier.of(c.getName().replaceFirst("\\$.*", ""));
        }

        @Override
        public String getDescription() {
            return "top-level classes";
        }
    };

    private final JavaClasses all = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("quincespar");

    @Test
    void dependenciesPointDown() {
        layeredArchitecture().consideringOnlyDependenciesInLayers()
                .layer("program").definedBy("quincespar.program..")
                .layer("simulator").definedBy("quincespar.simulator..")
                .layer("settings").definedBy("quincespar.settings..")
                .layer("routing").definedBy("quincespar.routing..")
                .layer("metrics").definedBy("quincespar.metrics..")
                .layer("membership").definedBy("quincespar.membership..")
                .layer("protocol").definedBy("quincespar.protocol..")
                .layer("transport").definedBy("quincespar.transport..")
                .layer("decision").definedBy("quincespar.decision..")
                .layer("capture").definedBy("quincespar.capture..")
                .layer("fleet").definedBy("quincespar.fleet..")
                .layer("recovery").definedBy("quincespar.recovery..")
                .layer("store").definedBy("quincespar.store..")
                .layer("records").definedBy("quincespar.records..")
                .whereLayer("program").mayNotBeAccessedByAnyLayer()
                .whereLayer("simulator").mayOnlyBeAccessedByLayers("program")
                .whereLayer("settings").mayOnlyBeAccessedByLayers("program")
                .whereLayer("routing").mayOnlyBeAccessedByLayers("program")
                .whereLayer("metrics").mayOnlyBeAccessedByLayers("program", "routing")
                .whereLayer("membership").mayOnlyBeAccessedByLayers("program", "routing")
                .whereLayer("protocol").mayOnlyBeAccessedByLayers("program", "routing", "membership")
                .whereLayer("transport").mayOnlyBeAccessedByLayers("program", "routing")
                .whereLayer("decision").mayOnlyBeAccessedByLayers("program", "routing", "simulator", "capture")
                .whereLayer("capture").mayOnlyBeAccessedByLayers("program")
                .whereLayer("fleet").mayOnlyBeAccessedByLayers("program", "routing", "recovery")
                .whereLayer("recovery").mayOnlyBeAccessedByLayers("program", "routing")
                .whereLayer("store").mayOnlyBeAccessedByLayers("program")
                .whereLayer("records").mayOnlyBeAccessedByLayers("program", "capture", "fleet", "store", "recovery")
                .check(all);
    }

    /** Start and phases stand above the sides of the program, and the clients' side knows nothing of the engines'. */
    @Test
    void theSidesOfTheProgramKnowOnlyWhatTheyMay() {
        ArchRuleDefinition.noClasses().that().resideInAPackage("quincespar.program.*").should().dependOnClassesThat()
                .resideInAPackage("quincespar.program").check(all);
        ArchRuleDefinition.noClasses().that().resideInAPackage("quincespar.program.runtime").should().dependOnClassesThat()
                .resideInAnyPackage("quincespar.program.clients", "quincespar.program.engines", "quincespar.program.captures",
                        "quincespar.program.status", "quincespar.program.fleet").check(all);
        ArchRuleDefinition.noClasses().that().resideInAPackage("quincespar.program.clients").should().dependOnClassesThat()
                .resideInAPackage("quincespar.program.engines").check(all);
        ArchRuleDefinition.noClasses().that().resideInAPackage("quincespar.program.engines").should().dependOnClassesThat()
                .resideInAPackage("quincespar.program.clients").check(all);
    }

    @Test
    void socketsStayInTheTransport() {
        ArchRuleDefinition.noClasses().that().resideOutsideOfPackages("quincespar.transport..", "quincespar.program..")
                .should().dependOnClassesThat().resideInAPackage("java.net..").check(all);
        ArchRuleDefinition.noClasses().that().resideOutsideOfPackages("quincespar.transport..", "quincespar.program..",
                "quincespar.store..").should().dependOnClassesThat().resideInAPackage("java.nio.channels..").check(all);
        ArchRuleDefinition.noClasses().should().dependOnClassesThat().resideInAPackage("java.net.http..").check(all);
    }

    /**
     * Decisions are a function of settings, events and seed: a replay of a capture would differ if the module read a
     * clock or a file, drew other random numbers, used threads or kept state outside of its objects.
     */
    @Test
    void theDecisionModuleIsDeterministic() {
        ArchRuleDefinition.classes().that().resideInAPackage(DECISION).should().onlyDependOnClassesThat()
                .resideInAnyPackage(DECISION, "java.lang", "java.lang.invoke", "java.lang.runtime", "java.util",
                        "java.util.function", "java.util.stream")
                .because("it performs no input or output and uses no clock and no concurrency library").check(all);
        ArchRuleDefinition.noClasses().that().resideInAPackage(DECISION).should().dependOnClassesThat()
                .belongToAnyOf(System.class, Runtime.class, Process.class, ProcessBuilder.class, Thread.class,
                        ThreadLocal.class, java.util.Timer.class, java.util.Date.class, java.util.Calendar.class,
                        java.util.Scanner.class, java.util.UUID.class, java.util.Random.class,
                        java.util.SplittableRandom.class)
                .because("these reach outside of the module or are not captured with its state").check(all);
        ArchRuleDefinition.noClasses().that().resideInAPackage(DECISION).should().callMethod(Math.class, "random")
                .because("its only random numbers are those of its seed").check(all);
        ArchRuleDefinition.noMethods().that().areDeclaredInClassesThat().resideInAPackage(DECISION).should()
                .haveModifier(JavaModifier.SYNCHRONIZED).because("one thread calls it").check(all);
        ArchRuleDefinition.noFields().that().areDeclaredInClassesThat().resideInAPackage(DECISION).should()
                .haveModifier(JavaModifier.VOLATILE).because("one thread calls it").check(all);
    }

    /** Static state would be shared by all schedulers of a process, and no snapshot would contain it. */
    @Test
    void theDecisionModuleHasNoStaticMutableState() {
        ArchRuleDefinition.fields().that().areDeclaredInClassesThat().resideInAPackage(DECISION).and().areStatic()
                .and().doNotHaveModifier(JavaModifier.SYNTHETIC).should().beFinal().andShould(holdAnImmutableValue())
                .check(all);
    }

    @Test
    void theClassesOfTheDecisionModuleHaveNoCycles() {
        JavaClasses decision = all.that(JavaClass.Predicates.resideInAPackage(DECISION));
        assertThat(decision).isNotEmpty();
        SlicesRuleDefinition.slices().assignedFrom(TOP_LEVEL_CLASSES).should().beFreeOfCycles().check(decision);
    }

    private static ArchCondition<JavaField> holdAnImmutableValue() {
        return new ArchCondition<>("hold a primitive, a string or an enum constant") {
            @Override
            public void check(JavaField field, ConditionEvents events) {
                JavaClass type = field.getRawType();
                events.add(new SimpleConditionEvent(field, type.isPrimitive() || type.isEnum()
                        || type.isEquivalentTo(String.class), field.getFullName() + " is a " + type.getName()));
            }
        };
    }
}
