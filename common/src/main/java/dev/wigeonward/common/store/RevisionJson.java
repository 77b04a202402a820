package dev.wigeonward.common.store;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.wigeonward.core.revision.Revision;
import dev.wigeonward.core.revision.StoredRevision;

/** JSON encoder and decoder for the values of head and of history entries. */
final class RevisionJson {
    private static final ObjectMapper JSON = new ObjectMapper();

    private RevisionJson() {}

    /** Returns the value of head for a revision. */
    static String head(StoredRevision stored) {
        return EtcdJson.object()
                .put("number", stored.revision().number())
                .put("hash", stored.revision().hash())
                .put("apply_id", stored.applyId())
                .toString();
    }

    /** Returns the revision number in a value of head, or empty if the value is malformed. */
    static Optional<Long> headNumber(String text) {
        try {
            return Optional.of(JSON.readTree(text).path("number").asLong()).filter(number -> number > 0);
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Returns the value of the history entry for a revision. */
    static String entry(StoredRevision stored) {
        Revision revision = stored.revision();
        return EtcdJson.object()
                .put("number", revision.number())
                .put("hash", revision.hash())
                .put("text", revision.text())
                .put("applied_by", revision.appliedBy())
                .put("reason", revision.reason())
                .put("apply_id", stored.applyId())
                .put("applied_at_epoch_millis", stored.appliedAtEpochMillis())
                .toString();
    }

    /** Returns the revision in a value of a history entry, or empty if the value is malformed. */
    static Optional<StoredRevision> parse(String text) {
        try {
            JsonNode node = JSON.readTree(text);
            Revision revision = new Revision(
                    node.path("number").asLong(),
                    node.path("hash").asText(),
                    node.path("text").asText(),
                    node.path("applied_by").asText(),
                    node.path("reason").asText());
            return Optional.of(new StoredRevision(
                    revision,
                    node.path("apply_id").asText(),
                    node.path("applied_at_epoch_millis").asLong()));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
