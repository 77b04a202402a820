package dev.wigeonward.core.deployment.check;

import java.util.ArrayList;
import java.util.List;

import dev.wigeonward.core.deployment.CallerLimits;
import dev.wigeonward.core.deployment.RoutingConfiguration;

/** Check for limits on callers that contradict each other or refuse ordinary requests. */
final class LimitsCheck implements ConfigurationCheck {
    private static final String PLACE = "limits";
    /** Size that the headers of an ordinary request may have: host, length, type, identifier, deadline and key. */
    private static final int MIN_HEADER_BYTES = 512;

    @Override
    public List<ConfigurationProblem> check(RoutingConfiguration configuration) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        CallerLimits limits = configuration.limits();
        if (limits.maxHeaderBytes() < MIN_HEADER_BYTES) {
            problems.add(ConfigurationProblem.warning(
                    PLACE,
                    "largest headers have " + limits.maxHeaderBytes() + " bytes; ordinary ones may have up to "
                            + MIN_HEADER_BYTES));
        }
        if (limits.maxBodyBytes() == 0) {
            problems.add(ConfigurationProblem.warning(PLACE, "requests with a body are refused"));
        }
        if (limits.headerTimeoutMillis() > limits.idleTimeoutMillis()) {
            problems.add(ConfigurationProblem.warning(
                    PLACE,
                    "time for headers of " + limits.headerTimeoutMillis() + " ms exceeds the idle time of "
                            + limits.idleTimeoutMillis() + " ms"));
        }
        return problems;
    }
}
