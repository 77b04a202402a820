package dev.wigeonward.common.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectWriter;

/** JSON reader and writer with a mapper that all code of a process shares. */
public final class Json {
    /** Media type of JSON. */
    public static final String MEDIA_TYPE = "application/json";

    private static final ObjectMapper MAPPER = new ObjectMapper().findAndRegisterModules();
    private static final ObjectWriter PRETTY = MAPPER.writerWithDefaultPrettyPrinter();

    private Json() {}

    /** Returns the shared mapper. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    /** Returns the value as one line of JSON in UTF-8. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the value as indented JSON in UTF-8, ending in a line break. */
    public static byte[] writePretty(Object value) {
        try {
            return (PRETTY.writeValueAsString(value) + "\n").getBytes(StandardCharsets.UTF_8);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the parsed bytes, or empty if they are not a JSON value. */
    public static Optional<JsonNode> read(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return node == null || node.isMissingNode() ? Optional.empty() : Optional.of(node);
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
