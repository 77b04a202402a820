package dev.wigeonward.entry.command;

/** Exit codes of the operator commands. */
public enum ExitCode {
    OK(0),
    FAILED(1),
    USAGE(2),
    CONFLICT(3);

    private final int value;

    ExitCode(int value) {
        this.value = value;
    }

    /** Returns the exit code of the process. */
    public int value() {
        return value;
    }
}
