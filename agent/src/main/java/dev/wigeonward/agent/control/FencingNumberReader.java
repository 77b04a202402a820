package dev.wigeonward.agent.control;

import java.util.OptionalLong;
import java.util.function.Consumer;

/** Reads the fencing number of the controller lease from the store. */
@FunctionalInterface
public interface FencingNumberReader {
    /** Answers in any thread; empty if the store did not answer, 0 if there is no controller. */
    void read(Consumer<OptionalLong> answer);
}
