package dev.wigeonward.core.rollout;

import dev.wigeonward.core.order.Order;

/** An action that the rollout controller requests from its adapters. */
public sealed interface ControllerEffect {
    /** Write the record if the key's revision is still the expected one; 0 means that the key must not exist. */
    record WriteRecord(RolloutRecord record, long expectedRevision) implements ControllerEffect {}

    /** Read the record of a model. */
    record ReadRecord(String model) implements ControllerEffect {}

    /** Send the order to the agent of the upstream. */
    record SendOrder(String upstreamId, Order order) implements ControllerEffect {}

    /** Send the stages over all links. */
    record PublishStages(ControllerStages stages) implements ControllerEffect {}

    /** Send the verdict over all links, without waiting for the store. */
    record PublishVerdict(BadVerdict verdict) implements ControllerEffect {}

    /** Report the step to the operators. */
    record ReportStep(RolloutReport report) implements ControllerEffect {}
}
