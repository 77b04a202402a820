package dev.wigeonward.verification.layers;

import java.time.Clock;
import java.time.Instant;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

/** Checks the dependency rules of section 4 of the design page. */
class LayerRulesTest {
    private static final String ROOT = "dev.wigeonward";
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages(ROOT);
    private static final JavaClasses TESTS = new ClassFileImporter().importClasses(LayerRulesTest.class);

    /** Guards against rules that pass because no class of a module was imported. */
    @Test
    void allModulesAreChecked() {
        for (String module :
                new String[] {"core", "wire", "common", "entry", "agent", "gateway", "platform", "standins"}) {
            assertThat(CLASSES.stream().filter(type -> type.getPackageName().startsWith(ROOT + "." + module)))
                    .as(module)
                    .isNotEmpty();
        }
    }

    /** Guards against core code that depends on I/O. */
    @Test
    void coreKnowsNoTransportAndNoFiles() {
        core("io.netty..", "io.servicetalk..", "com.google.protobuf..", "java.net..", "java.nio.file..", "java.io..")
                .check(CLASSES);
    }

    /** Guards against core code that behaves differently when the same events are replayed. */
    @Test
    void coreHasNoThreadsClockOrUnseededRandom() {
        core("java.util.concurrent..").check(CLASSES);
        ArchRule rule = noClasses()
                .that()
                .resideInAPackage(ROOT + ".core..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .callConstructor(Random.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(ThreadLocalRandom.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Clock.class)
                .orShould()
                .callMethod(Instant.class, "now");
        rule.check(CLASSES);
    }

    /** Guards against a wire format that depends on the core or on the binaries. */
    @Test
    void wireIsFreeOfCore() {
        noClasses()
                .that()
                .resideInAPackage(ROOT + ".wire..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(ROOT + ".core..", ROOT + ".entry..", ROOT + ".agent..", ROOT + ".common..")
                .check(CLASSES);
    }

    /** Guards against binaries that contain stand-ins. */
    @Test
    void noModuleDependsOnStandins() {
        noClasses()
                .that()
                .resideOutsideOfPackage(ROOT + ".standins..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage(ROOT + ".standins..")
                .check(CLASSES);
    }

    /** Guards against binaries that share code other than core, wire and common. */
    @Test
    void commonKnowsNoBinaryAndBinariesDoNotKnowEachOther() {
        forbid("common", "entry", "agent", "wire");
        forbid("entry", "agent");
        forbid("agent", "entry");
        forbid("gateway", "entry", "agent", "platform");
        forbid("platform", "entry", "agent");
    }

    /** Guards against cyclic dependencies between packages or modules. */
    @Test
    void packagesHaveNoCycles() {
        slices().matching(ROOT + ".(*).(*)..").should().beFreeOfCycles().check(CLASSES);
        slices().matching(ROOT + ".(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    /** Verifies that the rule on clocks fails for a class that reads the clock. */
    @Test
    void ruleFailsForClassThatReadsTheClock() {
        ArchRule rule = noClasses().should().callMethod(System.class, "nanoTime");
        assertThat(rule.evaluate(TESTS).hasViolation()).isTrue();
    }

    static long readsTheClock() {
        return System.nanoTime();
    }

    private static ArchRule core(String... forbidden) {
        return noClasses()
                .that()
                .resideInAPackage(ROOT + ".core..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(forbidden);
    }

    private static void forbid(String module, String... others) {
        for (String other : others) {
            noClasses()
                    .that()
                    .resideInAPackage(ROOT + "." + module + "..")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage(ROOT + "." + other + "..")
                    .check(CLASSES);
        }
    }
}
