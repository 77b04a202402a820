package dev.wigeonward.gateway.upstream;

import java.util.Objects;

/** What tells the answer to a request from late answers to earlier requests on the same connection. */
public sealed interface AnswerIdentity {
    /**
     * The upstream repeats an identifier in its answer. As the identifier does not tell two sends of one request apart,
     * the request is sent only on a connection that has not carried it.
     */
    record ById(String id) implements AnswerIdentity {
        public ById {
            Objects.requireNonNull(id, "id");
        }
    }

    /** Nothing in the answer; the request is sent on a new connection, which is closed afterwards. */
    record ByConnection() implements AnswerIdentity {}
}
