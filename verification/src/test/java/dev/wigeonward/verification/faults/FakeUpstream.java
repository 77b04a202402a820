package dev.wigeonward.verification.faults;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import dev.wigeonward.core.dispatch.AgentEvent;
import dev.wigeonward.core.error.ErrorKind;
import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** Upstream that logs each run and generates an answer derived from the request. It keeps running without its agent. */
final class FakeUpstream {
    static final int PARTS = 5;

    private static final int RESTART_MILLIS = 1_000;

    private final Simulation simulation;
    private final AgentNode agent;
    private final Set<RequestId> completed = new LinkedHashSet<>();
    private final Set<RequestId> running = new LinkedHashSet<>();
    long partMillis = 100;
    boolean failing;
    long poisonFingerprint;
    private boolean alive = true;

    FakeUpstream(Simulation simulation, AgentNode agent) {
        this.simulation = simulation;
        this.agent = agent;
    }

    /** Returns the whole answer to a request; requests with different contents have different answers. */
    static String answerOf(long fingerprint) {
        StringBuilder text = new StringBuilder();
        for (int part = 0; part < PARTS; part++) {
            text.append(part(fingerprint, part));
        }
        return text.toString();
    }

    private static String part(long fingerprint, int number) {
        return "%08x-%02d;".formatted(fingerprint, number);
    }

    List<RequestId> running() {
        return List.copyOf(running);
    }

    /** Returns the requests whose answers were completed. */
    List<RequestId> completed() {
        return List.copyOf(completed);
    }

    void submit(RequestSpec request) {
        simulation.log.runs.add(new EventLog.RunStart(request, agent.id(), simulation.now()));
        running.add(request.id());
        if (request.fingerprint() == poisonFingerprint) {
            simulation.after(10, this::crash);
            return;
        }
        step(request, 0);
    }

    private void step(RequestSpec request, int number) {
        simulation.after(partMillis, () -> {
            if (!running.contains(request.id())) {
                return;
            }
            if (failing && number > 0) {
                running.remove(request.id());
                notifyAgent(new AgentEvent.UpstreamFailed(
                        request.id(), Failure.of(ErrorKind.UPSTREAM_DIED, "the upstream cut the answer")));
                return;
            }
            if (number == PARTS) {
                running.remove(request.id());
                completed.add(request.id());
                notifyAgent(new AgentEvent.UpstreamFinished(request.id()));
                return;
            }
            String text = part(request.fingerprint(), number);
            agent.produced(request.id(), text);
            step(request, number + 1);
        });
    }

    void crash() {
        if (!alive) {
            return;
        }
        alive = false;
        running.clear();
        notifyAgent(new AgentEvent.UpstreamDied());
        simulation.after(RESTART_MILLIS, () -> {
            alive = true;
            poisonFingerprint = 0;
            notifyAgent(new AgentEvent.UpstreamAlive());
        });
    }

    void cancel(RequestId run) {
        running.remove(run);
    }

    private void notifyAgent(AgentEvent event) {
        agent.fromUpstream(event);
    }
}
