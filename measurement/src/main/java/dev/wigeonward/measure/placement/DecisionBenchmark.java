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

/** JMH benchmark of one placement and admission decision; samples times to compute percentiles. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class DecisionBenchmark {
    /** Seed of the random choices in the entry's state. */
    @Param("1")
    public long seed;

    /** Number of upstreams in the pool. */
    @Param({"10", "100", "1000", "10000"})
    public int upstreams;

    /** Whether the requests have keys, which selects placement by key. */
    @Param({"false", "true"})
    public boolean keyed;

    private DecisionState state;

    /** Creates the state of the entry before the benchmark. */
    @Setup
    public void setUp() {
        state = DecisionState.create(upstreams, keyed, seed);
    }

    /** Makes one decision and returns its placement. */
    @Benchmark
    public Placement decide() {
        return state.decide();
    }
}
