package org.apricotstack.core;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/**
 * Checks that the core contains only decisions: no input or output, no system clock, and no unseeded random numbers.
 */
@AnalyzeClasses(packages = "org.apricotstack.core", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    @ArchTest
    static final ArchRule DEPENDS_ON_NO_ADAPTER_LIBRARY = noClasses()
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

    @ArchTest
    static final ArchRule READS_NO_SYSTEM_CLOCK = noClasses()
            .should()
            .callMethod(System.class, "nanoTime")
            .orShould()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.time.Clock");

    @ArchTest
    static final ArchRule USES_NO_UNSEEDED_RANDOM_NUMBERS = noClasses()
            .should()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.util.concurrent.ThreadLocalRandom")
            .orShould()
            .dependOnClassesThat()
            .haveFullyQualifiedName("java.util.Random");
}
