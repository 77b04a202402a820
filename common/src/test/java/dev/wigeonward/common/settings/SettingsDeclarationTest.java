package dev.wigeonward.common.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class SettingsDeclarationTest {
    private static final SettingKey<InetSocketAddress> ADDRESS =
            SettingKey.address("node", "listen_address", "address for callers");
    private static final SettingKey<Long> DRAIN = SettingKey.wholeNumber(
                    "node", "drain_limit_seconds", 1, 3_600, "longest wait for requests at shutdown")
            .withDefault(600L);
    private static final SettingKey<Boolean> VERBOSE =
            SettingKey.flag("log", "verbose", "log each request").optional();
    private static final SettingsDeclaration DECLARATION = SettingsDeclaration.of(
            Map.of("node", "This process.", "log", "Log lines."), List.of(ADDRESS, DRAIN, VERBOSE));

    private static List<String> problemsOf(String text) {
        assertThat(DECLARATION.parse("test.ini", text)).isInstanceOf(SettingsResult.Invalid.class);
        return ((SettingsResult.Invalid) DECLARATION.parse("test.ini", text))
                .problems().stream().map(SettingsProblem::toString).toList();
    }

    private static Settings valid(String text) {
        assertThat(DECLARATION.parse("test.ini", text)).isInstanceOf(SettingsResult.Valid.class);
        return ((SettingsResult.Valid) DECLARATION.parse("test.ini", text)).settings();
    }

    /** Guards against values that are parsed wrongly, and against defaults that override given values. */
    @Test
    void readsValuesAndDefaults() {
        Settings settings = valid("[node]\nlisten_address = 127.0.0.1:7000\n[log]\nverbose = true\n");

        assertThat(settings.get(ADDRESS)).isEqualTo(new InetSocketAddress("127.0.0.1", 7000));
        assertThat(settings.get(DRAIN)).isEqualTo(600);
        assertThat(settings.find(VERBOSE)).contains(true);
        assertThat(valid("[node]\nlisten_address = [::1]:1\ndrain_limit_seconds=5")
                        .get(DRAIN))
                .isEqualTo(5);
    }

    /**
     * Guards against a misspelled key that is ignored, and against a check that stops at the first problem, so that an
     * operator has to start the process once per problem.
     */
    @Test
    void listsEveryProblemAtOnce() {
        String text = "stray = 1\n[node]\nlisten_address = localhost:7000\ndrain_limit_seconds = 3601\n"
                + "drain_limit = 5\n[logs]\nverbose = true\n[log]\nverbose = true\nverbose = yes\n";

        assertThat(problemsOf(text))
                .containsExactlyInAnyOrder(
                        "test.ini: []: key outside of a section; expected one of log, node",
                        "test.ini: [logs]: unknown section; expected one of log, node",
                        "test.ini: [node] drain_limit: unknown key; expected one of drain_limit_seconds,"
                                + " listen_address",
                        "test.ini: [node] listen_address: invalid value 'localhost:7000'; expected a numeric IP"
                                + " address and port, for example 127.0.0.1:7000 or [::1]:7000",
                        "test.ini: [node] drain_limit_seconds: invalid value '3601'; expected a whole number from 1"
                                + " to 3600",
                        "test.ini: [log] verbose: given 2 times; expected true or false");
    }

    /** Guards against a process that starts although a required key is missing or has an empty value. */
    @Test
    void missingRequiredKeyIsReported() {
        assertThat(problemsOf("")).singleElement().asString().startsWith("test.ini: [node] listen_address: missing;");
        assertThat(problemsOf("[node]\nlisten_address =\n"))
                .singleElement()
                .asString()
                .startsWith("test.ini: [node] listen_address: invalid value '';");
    }

    /** Guards against a documented example that lacks a key, or is invalid although its required key was given. */
    @Test
    void exampleNamesEveryKeyAndPassesTheCheck() {
        String example = DECLARATION.exampleFile();

        assertThat(example).contains("drain_limit_seconds = 600", "; listen_address =", "; verbose =");
        assertThat(valid(example.replace("; listen_address =", "listen_address = 127.0.0.1:1"))
                        .get(DRAIN))
                .isEqualTo(600);
    }

    /** Guards against declaring a quantity whose name does not show its unit. */
    @Test
    void quantityWithoutUnitIsRefused() {
        assertThatThrownBy(() -> SettingKey.wholeNumber("node", "drain_limit", 1, 2, "wait"))
                .hasMessageContaining("drain_limit does not end in a unit");
    }
}
