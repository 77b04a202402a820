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
 * Logback configurator, found as a service, that writes one JSON object per line. The configuration is code because
 * parsing a configuration file would take a quarter of the processor time of each start.
 */
@ConfiguratorRank(value = ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class JsonLogConfigurator extends ContextAwareBase implements Configurator {
    /** System property with the lowest level that is logged. */
    private static final String LEVEL_PROPERTY = "wigeonward.log.level";
    /**
     * System property for the target of the log. The value "out" selects standard output; any other value selects
     * standard error, as commands write their results to standard output.
     */
    private static final String TARGET_PROPERTY = "wigeonward.log.target";

    private static final String STANDARD_OUTPUT = "out";
    private static final String[] LIBRARIES = {"io.servicetalk", "io.netty", "org.apache.commons"};

    /** Creates a configurator; called by Logback. */
    public JsonLogConfigurator() {
        // The service loader requires a public constructor.
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
