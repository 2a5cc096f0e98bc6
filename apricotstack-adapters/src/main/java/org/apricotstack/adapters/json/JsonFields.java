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
 * Reads the fields of one JSON object and collects every problem, so that an operator sees all of them in one run.
 *
 * <p>Each read names the field; {@link #finish()} then reports fields that nobody asked for, each with the nearest
 * known name.
 */
public final class JsonFields {

    /** A longer distance than this makes two names strangers. */
    private static final int NEAR = 4;

    /** Longer values are not repeated in a problem. */
    private static final int MOST_SHOWN = 60;

    private final String source;
    private final String prefix;
    private final JsonNode object;
    private final Consumer<Problem> problems;
    private final Set<String> known = new LinkedHashSet<>();

    /**
     * Creates a reader.
     *
     * @param source the file or document, for problems
     * @param prefix path of the object in it; empty for the whole document
     * @param object the object
     * @param problems takes the problems
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
     * Reads a text.
     *
     * @param name the field
     * @param otherwise the value if the field is absent; {@code null} makes it required
     * @return the value, or {@code otherwise} if there is a problem
     */
    public String text(String name, String otherwise) {
        return read(name, otherwise, "a text", node -> node.isTextual() ? node.textValue() : null);
    }

    /**
     * Reads a text and turns it into a value.
     *
     * @param name the field
     * @param otherwise the value if the field is absent; {@code null} makes it required
     * @param allowed what is allowed, for problems
     * @param parser turns the text into a value; throws {@link IllegalArgumentException} or {@link ApricotException}
     * @param <T> the type of the value
     * @return the value, or {@code otherwise} if there is a problem
     */
    public <T> T value(String name, T otherwise, String allowed, Function<String, T> parser) {
        return read(name, otherwise, allowed, node -> {
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
     * @param otherwise the value if the field is absent; {@code null} makes it required
     * @param least the least allowed value
     * @param most the greatest allowed value
     * @return the value, or {@code least} if there is a problem
     */
    public long number(String name, Long otherwise, long least, long most) {
        Long value = read(name, otherwise, "a whole number from " + least + " to " + most, node -> {
            boolean fits = node.isIntegralNumber() && node.canConvertToLong();
            return fits && node.longValue() >= least && node.longValue() <= most ? node.longValue() : null;
        });
        return value == null ? least : value;
    }

    /**
     * Reads a number that may have a fraction.
     *
     * @param name the field
     * @param otherwise the value if the field is absent; {@code null} makes it required
     * @param least the least allowed value
     * @param most the greatest allowed value
     * @return the value, or {@code least} if there is a problem
     */
    public double fraction(String name, Double otherwise, double least, double most) {
        Double value = read(name, otherwise, "a number from " + least + " to " + most, node -> {
            boolean fits = node.isNumber() && node.doubleValue() >= least && node.doubleValue() <= most;
            return fits ? node.doubleValue() : null;
        });
        return value == null ? least : value;
    }

    /**
     * Reads a truth value.
     *
     * @param name the field
     * @param otherwise the value if the field is absent; {@code null} makes it required
     * @return the value, or {@code false} if there is a problem
     */
    public boolean flag(String name, Boolean otherwise) {
        Boolean value = read(name, otherwise, "true or false", node -> node.isBoolean() ? node.booleanValue() : null);
        return value != null && value;
    }

    /**
     * Reads a list of texts and turns each into a value.
     *
     * @param name the field
     * @param required whether the field must be there
     * @param allowed what each element may be, for problems
     * @param parser turns a text into a value; throws {@link IllegalArgumentException} or {@link ApricotException}
     * @param <T> the type of the values
     * @return the values without those that have problems
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
     * Reads a list of whole numbers that must be there.
     *
     * @param name the field
     * @return the numbers without those that have problems
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
     * Reads an object within this one.
     *
     * @param name the field
     * @return a reader of its fields, or {@code null} if the field is absent
     */
    public JsonFields object(String name) {
        known.add(name);
        JsonNode node = object.get(name);
        return node == null || node.isNull() ? null : new JsonFields(source, path(name), node, problems);
    }

    /** Reports the fields that nobody asked for. */
    public void finish() {
        for (Iterator<String> names = object.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.contains(name)) {
                problems.accept(new Problem(source, path(shown(name)), "an unknown field", nearest(name)));
            }
        }
    }

    /** Reads one field. */
    private <T> T read(String name, T otherwise, String allowed, Function<JsonNode, T> reader) {
        known.add(name);
        JsonNode node = object.get(name);
        if (node == null || node.isNull()) {
            if (otherwise == null) {
                problem(name, null, allowed);
            }
            return otherwise;
        }
        T value = reader.apply(node);
        if (value == null) {
            problem(name, node, allowed);
            return otherwise;
        }
        return value;
    }

    /** Names the known field that an unknown one is probably meant to be. */
    private String nearest(String name) {
        LevenshteinDistance distance = new LevenshteinDistance(NEAR);
        String best = null;
        int bestDistance = NEAR + 1;
        for (String candidate : known) {
            int far = distance.apply(shown(name), candidate);
            if (far >= 0 && far < bestDistance) {
                best = candidate;
                bestDistance = far;
            }
        }
        return best == null ? "one of " + known : "\"" + best + "\", which is the nearest known name";
    }

    /** Reports a problem of one field. */
    private void problem(String name, JsonNode node, String allowed) {
        String found = node == null ? "nothing" : node.isValueNode() ? shown(node.asText()) : kind(node);
        problems.accept(new Problem(source, path(name), found, allowed));
    }

    /** Returns the path of a field. */
    private String path(String name) {
        return prefix.isEmpty() ? name : prefix + "." + name;
    }

    /** Shortens a value for a problem. */
    private static String shown(String value) {
        return value.length() <= MOST_SHOWN ? value : value.substring(0, MOST_SHOWN) + "…";
    }

    /** Names the kind of a node. */
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
