package dev.wigeonward.entry.caller;

import dev.wigeonward.core.error.Failure;
import dev.wigeonward.core.request.RequestId;
import dev.wigeonward.core.request.RequestSpec;

/** Converts a caller's request to the description that the decision cores use, by the rules in force. */
public interface RequestClassifier {
    /** Returns the description of the request, or the reason for which it is refused. */
    Result classify(CallerRequest request, RequestId id, long nowMillis);

    /** The result of a classification. */
    sealed interface Result {
        /** The request can be submitted for admission. */
        record Classified(RequestSpec request) implements Result {}

        /** The request is refused and has not run. */
        record Refused(Failure failure) implements Result {}
    }
}
