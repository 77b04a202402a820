package dev.wigeonward.core.admission;

/** Weights of the workspaces within a tier. They are read at each decision, so that changes take effect immediately. */
@FunctionalInterface
public interface WorkspaceWeights {
    /** Returns the weight of the workspace, at least 1. */
    int weight(String workspace);

    /** Returns weights that are the same for all workspaces. */
    static WorkspaceWeights equal() {
        return workspace -> 1;
    }
}
