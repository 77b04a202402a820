package dev.wigeonward.measure.placement;

import java.util.concurrent.TimeUnit;

import dev.wigeonward.core.placement.Placement;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** One placement and admission decision, sampled for percentiles. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DecisionBenchmark {
    /** Seed of the state. */
    @Param("1")
    public long seed;

    /** Upstreams in the pool. */
    @Param({"10", "100", "1000", "10000"})
    public int upstreams;

    /** Whether the requests have keys. */
    @Param({"false", "true"})
    public boolean keyed;

    private DecisionState state;

    /** Builds the state of an entry. */
    @Setup
    public void setUp() {
        state = DecisionState.create(upstreams, keyed, seed);
    }

    /** Returns one decision. */
    @Benchmark
    public Placement decide() {
        return state.decide();
    }
}
