package dev.wigeonward.common.log;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures the log in code: one JSON object in each line. A configuration file would cost each start a quarter of its
 * processor time for the parser. Found by Logback as a service.
 */
@ConfiguratorRank(value = ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class JsonLogConfigurator extends ContextAwareBase implements Configurator {
    /** System property with the least level that is logged. */
    private static final String LEVEL_PROPERTY = "wigeonward.log.level";
    /** System property; "out" sends the log to standard output, which commands otherwise keep for their results. */
    private static final String TARGET_PROPERTY = "wigeonward.log.target";

    private static final String STANDARD_OUTPUT = "out";
    private static final String[] LIBRARIES = {"io.servicetalk", "io.netty", "org.apache.commons"};

    /** Called by Logback. */
    public JsonLogConfigurator() {
        // The service loader needs a public constructor.
    }

    @Override
    public ExecutionStatus configure(LoggerContext loggers) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(loggers);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithMessage(false);
        encoder.setWithArguments(false);
        encoder.setWithMDC(false);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(loggers);
        appender.setEncoder(encoder);
        appender.setTarget(STANDARD_OUTPUT.equals(System.getProperty(TARGET_PROPERTY)) ? "System.out" : "System.err");
        appender.setName("json");
        appender.start();
        for (String library : LIBRARIES) {
            loggers.getLogger(library).setLevel(Level.WARN);
        }
        Logger root = loggers.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO));
        root.addAppender(appender);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }
}
