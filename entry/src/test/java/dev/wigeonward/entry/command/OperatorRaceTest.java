package dev.wigeonward.entry.command;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import dev.wigeonward.core.revision.StoredRevision;
import dev.wigeonward.entry.command.InMemoryRevisionStore.Fault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that of two operators who apply a change to the same revision at the same time exactly one succeeds. */
class OperatorRaceTest {
    private static final int ROUNDS = 200;
    private static final List<String> OPERATORS = List.of("ana", "bo");

    @TempDir
    private Path directory;

    /**
     * Guards against two concurrent operators both being told that their change to the same revision was accepted,
     * which happens if the store does not compare the head before it writes.
     */
    @Test
    void oneOfTwoOperatorsWinsEachRound() throws Exception {
        assertThat(race(new InMemoryRevisionStore())).isEmpty();
    }

    /**
     * Guards against a race check that cannot fail: a store that writes without comparing the head must be detected.
     */
    @Test
    void detectsStoreWithoutCompareAndSwap() throws Exception {
        assertThat(race(new InMemoryRevisionStore() {
                    @Override
                    WriteResult write(long expectedNumber, StoredRevision next) {
                        history.add(next);
                        return new WriteResult.Applied();
                    }
                }))
                .isPresent();
    }

    /** Runs all rounds and returns a description of the first in which winners and written revisions differ, if any. */
    private Optional<String> race(InMemoryRevisionStore store) throws Exception {
        Random random = new Random(7);
        ExecutorService threads = Executors.newFixedThreadPool(OPERATORS.size());
        try {
            for (int round = 0; round < ROUNDS; round++) {
                store.faults.clear();
                store.faults.add(Fault.values()[random.nextInt(Fault.values().length)]);
                int before = store.history.size();
                List<String> winners = runRound(store, threads, round, before);
                List<String> written = store.history.subList(before, store.history.size()).stream()
                        .map(stored -> stored.revision().appliedBy())
                        .toList();
                if (winners.size() != 1 || !winners.equals(written)) {
                    return Optional.of("round " + round + ": told " + winners + ", written " + written);
                }
            }
        } finally {
            threads.shutdownNow();
        }
        return Optional.empty();
    }

    private List<String> runRound(InMemoryRevisionStore store, ExecutorService threads, int round, int base)
            throws Exception {
        CyclicBarrier start = new CyclicBarrier(OPERATORS.size());
        List<Future<Integer>> exitCodes = new ArrayList<>();
        for (String operator : OPERATORS) {
            exitCodes.add(threads.submit(() -> {
                start.await();
                return apply(store, operator, round, base);
            }));
        }
        List<String> winners = new ArrayList<>();
        for (int index = 0; index < OPERATORS.size(); index++) {
            int exitCode = exitCodes.get(index).get();
            assertThat(exitCode).isIn(0, 3);
            if (exitCode == 0) {
                winners.add(OPERATORS.get(index));
            }
        }
        return winners;
    }

    private int apply(InMemoryRevisionStore store, String operator, int round, int base) throws IOException {
        String text =
                "workspace " + operator + "-" + round + " weight=1 tiers=batch # asked by " + operator + ": race\n";
        Path file = Files.writeString(directory.resolve(operator + ".rules"), text);
        PrintStream ignored = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
        String line = "apply " + file + " --store 127.0.0.1:1 --base " + base + " --by " + operator + " --reason race";
        return Commands.run(line.split(" "), store.environment(), ignored, ignored);
    }
}
