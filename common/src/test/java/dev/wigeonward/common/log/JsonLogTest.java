package dev.wigeonward.common.log;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import ch.qos.logback.classic.LoggerContext;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;

class JsonLogTest {
    /**
     * Guards against logs that are not JSON lines: because the JDK's backend is used when Logback is missing or not
     * selected, or because the encoder is configured differently.
     */
    @Test
    void systemLoggerWritesOneJsonObjectPerLine() throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream standardError = System.err;
        System.setErr(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        try {
            reload();
            System.getLogger("test").log(System.Logger.Level.WARNING, "link {0} is \"silent\"", "a1");
        } finally {
            System.setErr(standardError);
            reload();
        }
        JsonNode line = new ObjectMapper().readTree(bytes.toString(StandardCharsets.UTF_8));
        assertThat(line.path("level").asText()).isEqualTo("WARN");
        assertThat(line.path("loggerName").asText()).isEqualTo("test");
        assertThat(line.path("formattedMessage").asText()).isEqualTo("link a1 is \"silent\"");
    }

    private static void reload() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        new JsonLogConfigurator().configure(context);
    }
}
