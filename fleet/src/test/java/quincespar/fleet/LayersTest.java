package quincespar.fleet;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import org.junit.jupiter.api.Test;

class LayersTest {
    @Test
    void fleetDoesNoIoAndReadsNoClock() {
        ArchRuleDefinition.noClasses().that().resideInAPackage("quincespar.fleet..").should().dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.channels..", "java.time..", "java.util.concurrent.atomic..",
                        "quincespar.store..", "org.apache..").orShould().callMethod(System.class, "nanoTime").orShould()
                .callMethod(System.class, "currentTimeMillis").check(new ClassFileImporter().withImportOption(
                        new ImportOption.DoNotIncludeTests()).importPackages("quincespar.fleet"));
    }
}
