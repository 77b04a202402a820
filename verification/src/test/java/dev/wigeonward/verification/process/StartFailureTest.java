package dev.wigeonward.verification.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a process that stays alive without serving when its port is in use, so that it is not restarted. */
class StartFailureTest {
    private static final long START_LIMIT_SECONDS = 60;

    @TempDir
    private Path directory;

    @Test
    void agentWhosePortIsTakenEnds() throws Exception {
        try (ServerSocket taken = takePort()) {
            String settings =
                    """
                    [agent]
                    id = a
                    failure_domain = d
                    link_address = 127.0.0.1:0
                    admin_address = 127.0.0.1:%d
                    [upstream]
                    kind = engine
                    address = 127.0.0.1:9
                    target = m
                    slots_count = 4
                    """
                            .formatted(taken.getLocalPort());
            assertEnds("dev.wigeonward.agent.Main", List.of("serve", "--settings", file(settings)));
        }
    }

    @Test
    void gatewayWhosePortIsTakenEnds() throws Exception {
        try (ServerSocket taken = takePort()) {
            String settings =
                    """
                    [gateway]
                    id = g
                    zone = z
                    caller_address = 127.0.0.1:%d
                    status_address = 127.0.0.1:0
                    peer_address = 127.0.0.1:0
                    grace_seconds = 1
                    [store]
                    address = 127.0.0.1:9
                    [budgets]
                    retry_ratio = 0.2
                    retry_allowance_count = 10
                    retry_window_seconds = 10
                    cap_window_seconds = 8
                    cap_overrun_ratio = 0.1
                    cap_margin_count = 1
                    """
                            .formatted(taken.getLocalPort());
            assertEnds("dev.wigeonward.platform.Main", List.of(file(settings)));
        }
    }

    private static ServerSocket takePort() throws IOException {
        return new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    private String file(String settings) throws IOException {
        return Files.writeString(directory.resolve("settings.ini"), settings).toString();
    }

    private void assertEnds(String mainClass, List<String> arguments) throws Exception {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass));
        command.addAll(arguments);
        Path output = directory.resolve("output.log");
        Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
                .start();
        try {
            assertThat(process.waitFor(START_LIMIT_SECONDS, TimeUnit.SECONDS))
                    .as("%s exits within %d s", mainClass, START_LIMIT_SECONDS)
                    .isTrue();
            assertThat(process.exitValue()).isEqualTo(1);
            assertThat(Files.readString(output)).contains("cannot start");
        } finally {
            process.destroyForcibly();
        }
    }
}
