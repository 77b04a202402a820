package dev.wigeonward.core.admission;

/** Weights of the workspaces within a tier. Looked up at each decision, so that changes apply at once. */
@FunctionalInterface
public interface WorkspaceWeights {
    /** Returns the weight of the workspace, at least 1. */
    int weight(String workspace);

    /** Returns the same weight for all workspaces. */
    static WorkspaceWeights equal() {
        return workspace -> 1;
    }
}
