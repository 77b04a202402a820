package dev.wigeonward.gateway.memory;

import io.netty.util.internal.PlatformDependent;

/**
 * The budgets of a process.
 *
 * @param requests bytes of callers' requests that are being read, wait or may be sent again; in direct memory
 * @param answers bytes of upstreams' answers that are held back until more of them arrives; on the heap
 * @param unread bytes of answers that callers have not read yet; in direct memory
 */
public record MemoryBudgets(ByteBudget requests, ByteBudget answers, ByteBudget unread) {
    /** Part of the direct memory for requests; the rest is for reading and writing sockets. */
    private static final double REQUESTS_PART = 0.35;
    /** Part of the direct memory for bytes that callers have not read yet. */
    private static final double UNREAD_PART = 0.2;
    /** Part of the heap for answers; the rest is for all other state. */
    private static final double ANSWERS_PART = 0.2;

    /** Returns budgets that are parts of the memory limits of this process. */
    public static MemoryBudgets ofProcess() {
        return new MemoryBudgets(
                ByteBudget.of((long) (REQUESTS_PART * PlatformDependent.maxDirectMemory())),
                ByteBudget.of((long) (ANSWERS_PART * Runtime.getRuntime().maxMemory())),
                ByteBudget.of((long) (UNREAD_PART * PlatformDependent.maxDirectMemory())));
    }

    /** Returns the bytes held and the sizes of the budgets as text, for the dump page. */
    public String describe() {
        return "requests=%d/%d answers=%d/%d unread=%d/%d"
                .formatted(
                        requests.heldBytes(),
                        requests.maxBytes(),
                        answers.heldBytes(),
                        answers.maxBytes(),
                        unread.heldBytes(),
                        unread.maxBytes());
    }
}
