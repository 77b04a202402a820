package dev.wigeonward.core.deployment.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

import dev.wigeonward.core.deployment.Route;
import dev.wigeonward.core.deployment.RoutingConfiguration;
import dev.wigeonward.core.deployment.WeightedService;

/** Check for routes that can never match a request, that lead to no service, or whose times contradict each other. */
final class RouteCheck implements ConfigurationCheck {
    /** Characters that the path of a request never holds: those that end it, and white space. */
    private static final Pattern NEVER_IN_PATH = Pattern.compile("[?#\\s]");
    /** A host with a port, which is removed from the host of a request before routes are looked up. */
    private static final Pattern HOST_WITH_PORT = Pattern.compile("(?:[^:]+|\\[.*]):\\d*");

    @Override
    public List<ConfigurationProblem> check(RoutingConfiguration configuration) {
        List<ConfigurationProblem> problems = new ArrayList<>();
        Map<String, Route> firstByHostAndPrefix = new HashMap<>();
        Set<String> names = new HashSet<>();
        for (Route route : configuration.routes()) {
            String place = "route " + route.name();
            if (!names.add(route.name())) {
                problems.add(ConfigurationProblem.warning(place, "another route has the same name"));
            }
            Route first = firstByHostAndPrefix.putIfAbsent(
                    route.host().toLowerCase(Locale.ROOT) + " " + route.prefix(), route);
            if (first != null) {
                problems.add(ConfigurationProblem.error(
                        place, "can never match, because route " + first.name() + " has the same host and prefix"));
            }
            boolean hostNeverMatches = route.host().isBlank()
                    || HOST_WITH_PORT.matcher(route.host()).matches();
            if (hostNeverMatches || NEVER_IN_PATH.matcher(route.prefix()).find()) {
                problems.add(ConfigurationProblem.error(
                        place, "can never match: host is '" + route.host() + "', prefix is '" + route.prefix() + "'"));
            }
            checkServices(route, place, problems);
            checkTimes(route, place, problems);
        }
        if (configuration.routes().isEmpty()) {
            problems.add(ConfigurationProblem.warning("routes", "there are none, so that all requests are refused"));
        }
        return problems;
    }

    private static void checkServices(Route route, String place, List<ConfigurationProblem> problems) {
        int weights =
                route.services().stream().mapToInt(WeightedService::weight).sum();
        if (weights == 0) {
            problems.add(ConfigurationProblem.warning(
                    place, "all weights are 0, so that the last service gets all requests"));
        }
        for (WeightedService candidate : route.services()) {
            if (candidate.service().isBlank()) {
                problems.add(ConfigurationProblem.error(place, "names no service"));
            } else if (weights > 0 && candidate.weight() == 0) {
                problems.add(ConfigurationProblem.warning(
                        place, "service " + candidate.service() + " has weight 0 and gets no requests"));
            }
        }
    }

    private static void checkTimes(Route route, String place, List<ConfigurationProblem> problems) {
        if (route.objectiveMillis() < 0 || route.maxPauseMillis() < 0) {
            problems.add(ConfigurationProblem.error(place, "objective and longest pause must not be negative"));
        }
        if (route.objectiveMillis() > route.timeoutMillis()) {
            problems.add(ConfigurationProblem.warning(
                    place,
                    "objective of " + route.objectiveMillis() + " ms exceeds the time-out of " + route.timeoutMillis()
                            + " ms"));
        }
        if (route.maxPauseMillis() > route.timeoutMillis()) {
            problems.add(ConfigurationProblem.warning(
                    place,
                    "longest pause of " + route.maxPauseMillis() + " ms exceeds the time-out of "
                            + route.timeoutMillis() + " ms"));
        }
    }
}
