package dev.wigeonward.standins.local;

import java.util.ArrayList;
import java.util.List;

/**
 * Upstream of a local deployment.
 *
 * @param extraArguments additional options of its stand-in
 */
public record LocalUpstream(
        String name,
        Kind kind,
        String target,
        String version,
        String failureDomain,
        int slots,
        int decodeTokensPerSecond,
        List<String> extraArguments) {
    /** Kind of an upstream. */
    public enum Kind {
        ENGINE,
        SERVICE
    }

    public LocalUpstream {
        extraArguments = List.copyOf(extraArguments);
    }

    /** Returns a model engine. */
    public static LocalUpstream engine(String name, String target, int slots, int decodeTokensPerSecond) {
        return new LocalUpstream(
                name, Kind.ENGINE, target, "v1", "domain-" + name, slots, decodeTokensPerSecond, List.of());
    }

    /** Returns a plain service that answers after a delay. */
    public static LocalUpstream service(String name, String target, long delayMillis) {
        return new LocalUpstream(
                name,
                Kind.SERVICE,
                target,
                "v1",
                "domain-" + name,
                8,
                1_000,
                List.of("--delay-millis", Long.toString(delayMillis)));
    }

    /** Returns this upstream with additional options of its stand-in. */
    public LocalUpstream with(String... options) {
        List<String> all = new ArrayList<>(extraArguments);
        all.addAll(List.of(options));
        return new LocalUpstream(name, kind, target, version, failureDomain, slots, decodeTokensPerSecond, all);
    }

    /** Returns the name of its agent. */
    public String agentName() {
        return "agent-" + name;
    }

    List<String> arguments() {
        List<String> arguments = new ArrayList<>();
        if (kind == Kind.ENGINE) {
            arguments.addAll(List.of(
                    "--model",
                    target,
                    "--version",
                    version,
                    "--slots",
                    Integer.toString(slots),
                    "--decode",
                    Integer.toString(decodeTokensPerSecond)));
        }
        arguments.addAll(extraArguments);
        return arguments;
    }
}
