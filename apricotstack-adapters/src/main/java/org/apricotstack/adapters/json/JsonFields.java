package org.apricotstack.adapters.json;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.apricotstack.core.configuration.Problem;
import org.apricotstack.core.failure.ApricotException;

/**
 * Reads the fields of a JSON object and collects all problems, so that an operator sees them at once.
 *
 * <p>Each read registers the name of a field; {@link #finish()} then reports the unknown fields, each with the most
 * similar known name.
 */
public final class JsonFields {

    /** Maximum edit distance at which a known name is suggested. */
    private static final int MAX_SUGGESTION_DISTANCE = 4;

    /** Longer values are truncated in problems, in characters. */
    private static final int MAX_SHOWN_LENGTH = 60;

    private final String source;
    private final String prefix;
    private final JsonNode object;
    private final Consumer<Problem> problems;
    private final Set<String> known = new LinkedHashSet<>();

    /**
     * Creates a reader.
     *
     * @param source the file or document, for problems
     * @param prefix path of the object within the source; empty for the whole document
     * @param object the object
     * @param problems receives the problems
     */
    public JsonFields(String source, String prefix, JsonNode object, Consumer<Problem> problems) {
        this.source = source;
        this.prefix = prefix;
        this.object = object;
        this.problems = problems;
        if (!object.isObject()) {
            problems.accept(new Problem(source, prefix, kind(object), "an object"));
        }
    }

    /**
     * Reads a string.
     *
     * @param name the field
     * @param defaultValue the value if the field is absent; {@code null} makes it required
     * @return the value, or {@code defaultValue} if there is a problem
     */
    public String text(String name, String defaultValue) {
        return read(name, defaultValue, "a text", node -> node.isTextual() ? node.textValue() : null);
    }

    /**
     * Reads a string and converts it to a value.
     *
     * @param name the field
     * @param defaultValue the value if the field is absent; {@code null} makes it required
     * @param allowed describes the allowed values in problems
     * @param parser converts the string to a value; throws {@link IllegalArgumentException} or {@link ApricotException}
     * @param <T> the type of the value
     * @return the value, or {@code defaultValue} if there is a problem
     */
    public <T> T value(String name, T defaultValue, String allowed, Function<String, T> parser) {
        return read(name, defaultValue, allowed, node -> {
            if (!node.isTextual()) {
                return null;
            }
            try {
                return parser.apply(node.textValue());
            } catch (IllegalArgumentException | ApricotException e) {
                return null;
            }
        });
    }

    /**
     * Reads a whole number.
     *
     * @param name the field
     * @param defaultValue the value if the field is absent; {@code null} makes it required
     * @param min the smallest allowed value
     * @param max the largest allowed value
     * @return the value, or {@code min} if there is a problem
     */
    public long number(String name, Long defaultValue, long min, long max) {
        Long value = read(name, defaultValue, "a whole number from " + min + " to " + max, node -> {
            boolean fits = node.isIntegralNumber() && node.canConvertToLong();
            return fits && node.longValue() >= min && node.longValue() <= max ? node.longValue() : null;
        });
        return value == null ? min : value;
    }

    /**
     * Reads a number that need not be whole.
     *
     * @param name the field
     * @param defaultValue the value if the field is absent; {@code null} makes it required
     * @param min the smallest allowed value
     * @param max the largest allowed value
     * @return the value, or {@code min} if there is a problem
     */
    public double fraction(String name, Double defaultValue, double min, double max) {
        Double value = read(name, defaultValue, "a number from " + min + " to " + max, node -> {
            boolean fits = node.isNumber() && node.doubleValue() >= min && node.doubleValue() <= max;
            return fits ? node.doubleValue() : null;
        });
        return value == null ? min : value;
    }

    /**
     * Reads a boolean.
     *
     * @param name the field
     * @param defaultValue the value if the field is absent; {@code null} makes it required
     * @return the value, or {@code false} if there is a problem
     */
    public boolean flag(String name, Boolean defaultValue) {
        Boolean value =
                read(name, defaultValue, "true or false", node -> node.isBoolean() ? node.booleanValue() : null);
        return value != null && value;
    }

    /**
     * Reads a list of strings and converts each to a value.
     *
     * @param name the field
     * @param required whether the field is required
     * @param allowed describes the allowed elements in problems
     * @param parser converts a string to a value; throws {@link IllegalArgumentException} or {@link ApricotException}
     * @param <T> the type of the values
     * @return the valid values
     */
    public <T> List<T> list(String name, boolean required, String allowed, Function<String, T> parser) {
        known.add(name);
        JsonNode node = object.get(name);
        List<T> values = new ArrayList<>();
        if (node == null || !node.isArray()) {
            if (required || node != null) {
                problem(name, node, "a list, each element " + allowed);
            }
            return values;
        }
        for (int i = 0; i < node.size(); i++) {
            try {
                values.add(parser.apply(node.get(i).textValue()));
            } catch (IllegalArgumentException | ApricotException | NullPointerException e) {
                problem(name + "[" + i + "]", node.get(i), allowed);
            }
        }
        return values;
    }

    /**
     * Reads a required list of whole numbers.
     *
     * @param name the field
     * @return the valid numbers
     */
    public List<Long> numbers(String name) {
        known.add(name);
        JsonNode node = object.get(name);
        List<Long> values = new ArrayList<>();
        if (node == null || !node.isArray()) {
            problem(name, node, "a list of whole numbers");
            return values;
        }
        for (int i = 0; i < node.size(); i++) {
            if (node.get(i).isIntegralNumber() && node.get(i).canConvertToLong()) {
                values.add(node.get(i).longValue());
            } else {
                problem(name + "[" + i + "]", node.get(i), "a whole number");
            }
        }
        return values;
    }

    /**
     * Reads a nested object.
     *
     * @param name the field
     * @return a reader of its fields, or {@code null} if the field is absent
     */
    public JsonFields object(String name) {
        known.add(name);
        JsonNode node = object.get(name);
        return node == null || node.isNull() ? null : new JsonFields(source, path(name), node, problems);
    }

    /** Reports all fields that were not read. */
    public void finish() {
        for (Iterator<String> names = object.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.contains(name)) {
                problems.accept(new Problem(source, path(shown(name)), "an unknown field", suggestion(name)));
            }
        }
    }

    /** Reads one field. */
    private <T> T read(String name, T defaultValue, String allowed, Function<JsonNode, T> reader) {
        known.add(name);
        JsonNode node = object.get(name);
        if (node == null || node.isNull()) {
            if (defaultValue == null) {
                problem(name, null, allowed);
            }
            return defaultValue;
        }
        T value = reader.apply(node);
        if (value == null) {
            problem(name, node, allowed);
            return defaultValue;
        }
        return value;
    }

    /** Suggests the known field that is most similar to an unknown one. */
    private String suggestion(String name) {
        LevenshteinDistance distance = new LevenshteinDistance(MAX_SUGGESTION_DISTANCE);
        String best = null;
        int bestDistance = MAX_SUGGESTION_DISTANCE + 1;
        for (String candidate : known) {
            int edits = distance.apply(shown(name), candidate);
            if (edits >= 0 && edits < bestDistance) {
                best = candidate;
                bestDistance = edits;
            }
        }
        return best == null ? "one of " + known : "\"" + best + "\", which is the nearest known name";
    }

    /** Reports a problem with one field. */
    private void problem(String name, JsonNode node, String allowed) {
        String found = node == null ? "nothing" : node.isValueNode() ? shown(node.asText()) : kind(node);
        problems.accept(new Problem(source, path(name), found, allowed));
    }

    /** Returns the path of a field. */
    private String path(String name) {
        return prefix.isEmpty() ? name : prefix + "." + name;
    }

    /** Truncates a value for a problem. */
    private static String shown(String value) {
        return value.length() <= MAX_SHOWN_LENGTH ? value : value.substring(0, MAX_SHOWN_LENGTH) + "…";
    }

    /** Describes the type of a node. */
    private static String kind(JsonNode node) {
        return switch (node.getNodeType()) {
            case OBJECT -> "an object";
            case ARRAY -> "a list";
            case STRING -> "a text";
            case NUMBER -> "a number";
            case BOOLEAN -> "true or false";
            default -> "nothing";
        };
    }
}
