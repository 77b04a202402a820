package dev.wigeonward.gateway.exchange;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.Random;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import dev.wigeonward.core.deployment.Route;
import dev.wigeonward.core.deployment.RoutingConfiguration;
import dev.wigeonward.core.deployment.Workspace;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.suspect.SuspectRestriction;
import dev.wigeonward.core.suspect.SuspectTable;

/**
 * Checker of requests against the active configuration: route, API key, suspect restriction and usage cap. Runs on the
 * event loop.
 */
final class AdmissionChecker {
    private final WorkspaceCaps workspaceCaps;
    private final SuspectTable suspects;
    private final Random random;

    AdmissionChecker(WorkspaceCaps workspaceCaps, SuspectTable suspects, Random random) {
        this.workspaceCaps = workspaceCaps;
        this.suspects = suspects;
        this.random = random;
    }

    /** Returns the admission or the refusal of a request, and counts its usage if it is admitted. */
    Admission admit(CallerRequest request, RoutingConfiguration current, long nowMillis) {
        Optional<Route> route = current.route(host(request), request.path());
        if (route.isEmpty()) {
            return new Admission.Refused(ErrorKind.UNKNOWN_TARGET, 0);
        }
        Optional<Workspace> workspace = request.callerHead().apiKey().flatMap(current::workspace);
        if (workspace.isEmpty() && current.hasWorkspaces() && !route.get().keyless()) {
            return new Admission.Refused(ErrorKind.UNAUTHORIZED, 0);
        }
        long fingerprint = fingerprint(request);
        if (suspects.restriction(fingerprint, nowMillis) == SuspectRestriction.REFUSED) {
            return new Admission.Refused(ErrorKind.SUSPECT, suspects.restrictedForMillis(fingerprint, nowMillis));
        }
        long usage = 0;
        if (workspace.isPresent()) {
            usage = workspace
                    .get()
                    .usageOf((long) request.callerHead().promptTokens()
                            + request.callerHead().maxOutputTokens());
            long waitMillis = workspaceCaps.acquire(workspace.get(), usage, nowMillis);
            if (waitMillis > 0) {
                return new Admission.Refused(ErrorKind.RATE_LIMITED, waitMillis);
            }
        }
        String service = route.get().selectService(random.nextDouble());
        return new Admission.Admitted(route.get(), service, workspace, usage, fingerprint);
    }

    private static String host(CallerRequest request) {
        String host = request.head().headers().get("host", "");
        int colon = host.lastIndexOf(':');
        return colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
    }

    private static long fingerprint(CallerRequest request) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putUnencodedChars(request.head().uri());
        hasher.putUnencodedChars(request.callerHead().apiKey().orElse(""));
        for (ByteBuffer part : request.body().bytes().nioBuffers()) {
            hasher.putBytes(part);
        }
        return hasher.hash().asLong();
    }
}
