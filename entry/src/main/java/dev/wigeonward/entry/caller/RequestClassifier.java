package dev.wigeonward.entry.caller;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** Turns a caller's request into what the decision cores need, by the rules in force. */
public interface RequestClassifier {
    /** Returns the description of the request, or why it is refused. */
    Result classify(CallerRequest request, RequestId id, long nowMillis);

    /** Outcome of a classification. */
    sealed interface Result {
        /** The request may be offered for admission. */
        record Classified(RequestSpec request) implements Result {}

        /** The request is refused and has not run. */
        record Refused(Failure failure) implements Result {}
    }
}
