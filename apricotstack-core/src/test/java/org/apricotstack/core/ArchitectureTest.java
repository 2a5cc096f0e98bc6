package org.apricotstack.core;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/**
 * Checks that the core contains only decisions: no input or output, no system clock, and no unseeded random numbers.
 */
class ArchitectureTest {

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.apricotstack.core");

    private static final ArchRule DEPENDS_ON_NO_ADAPTER_LIBRARY = noClasses()
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "io.netty..",
                    "io.grpc..",
                    "reactor.netty..",
                    "com.fasterxml.jackson..",
                    "com.codahale.metrics..",
                    "com.google.protobuf..",
                    "org.tinylog..",
                    "org.apricotstack.adapters..",
                    "java.net..",
                    "java.nio.file..");

    private static final ArchRule READS_NO_SYSTEM_CLOCK = noClasses()
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.time.Clock");

    private static final ArchRule USES_NO_UNSEEDED_RANDOM_NUMBERS = noClasses()
            .should()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.util.concurrent.ThreadLocalRandom")
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.util.Random");

    @Test
    void dependsOnNoAdapterLibrary() {
        DEPENDS_ON_NO_ADAPTER_LIBRARY.check(CLASSES);
    }

    @Test
    void readsNoSystemClock() {
        READS_NO_SYSTEM_CLOCK.check(CLASSES);
    }

    @Test
    void usesNoUnseededRandomNumbers() {
        USES_NO_UNSEEDED_RANDOM_NUMBERS.check(CLASSES);
    }
}
