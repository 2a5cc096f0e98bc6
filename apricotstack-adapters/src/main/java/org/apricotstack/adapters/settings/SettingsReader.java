package org.apricotstack.adapters.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.adapters.json.JsonFields;
import org.apricotstack.adapters.json.KeyDigests;
import org.apricotstack.adapters.settings.RouterSettings.Timings;
import org.apricotstack.adapters.settings.RouterSettings.TlsFiles;
import org.apricotstack.core.configuration.Problem;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;

/** Reads the settings of a router and reports all their problems at once. */
public final class SettingsReader {

    private static final String ADDRESS = "an address IP:PORT";
    private static final String NAME = "a name of letters, digits, dots, hyphens, underscores and colons";
    private static final long MIN_BODY_MEMORY = 1L << 20;
    private static final long MAX_BODY_MEMORY = 1L << 36;
    private static final long DEFAULT_BODY_MEMORY = 256L << 20;
    private static final long MAX_MILLIS = 600_000;

    private final String source;
    private final List<Problem> problems = new ArrayList<>();

    /** Creates a reader for one text. */
    private SettingsReader(String source) {
        this.source = source;
    }

    /**
     * Reads a file.
     *
     * @param file the file
     * @return the settings
     * @throws ApricotException with {@link ErrorCode#INVALID_SETTINGS} and every problem
     */
    public static RouterSettings readFile(Path file) {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT, "Cannot read " + file + "; check that it exists and is readable.", e);
        }
    }

    /**
     * Reads a text.
     *
     * @param source the name of its source, for problems
     * @param text the text
     * @return the settings
     * @throws ApricotException with {@link ErrorCode#INVALID_SETTINGS} and every problem
     */
    public static RouterSettings read(String source, String text) {
        SettingsReader reader = new SettingsReader(source);
        RouterSettings settings = reader.parse(text);
        if (!reader.problems.isEmpty()) {
            StringBuilder message = new StringBuilder("The settings cannot be used; correct each line:");
            reader.problems.forEach(problem -> message.append('\n').append(problem));
            throw new ApricotException(ErrorCode.INVALID_SETTINGS, message.toString());
        }
        return settings;
    }

    /** Reads the whole text. */
    private RouterSettings parse(String text) {
        JsonNode tree;
        try {
            tree = Json.COMMENTED.readTree(text);
        } catch (IOException e) {
            problems.add(new Problem(source, "", Json.describe(e), "one JSON object, comments allowed"));
            return null;
        }
        JsonFields fields = new JsonFields(source, "", tree, problems::add);
        RouterSettings settings = new RouterSettings(
                fields.value("host", null, NAME, HostId::new),
                fields.value("dataCentre", null, NAME, DataCentreId::new),
                fields.value("callerAddress", null, ADDRESS, Address::parse),
                fields.value("peerAddress", null, ADDRESS, Address::parse),
                fields.value("adminAddress", null, ADDRESS, Address::parse),
                fields.list("platformAddresses", true, ADDRESS, Address::parse),
                fields.list("seedPeers", false, ADDRESS, Address::parse),
                fields.value("adminKeyDigest", null, "a SHA-256 digest in hexadecimal", KeyDigests::require),
                fields.number("bodyMemoryBytes", DEFAULT_BODY_MEMORY, MIN_BODY_MEMORY, MAX_BODY_MEMORY),
                timings(fields.object("timings")),
                tls(fields.object("callerTls")),
                tls(fields.object("peerTls")));
        fields.finish();
        if (settings.platformAddresses().isEmpty()) {
            problems.add(new Problem(source, "platformAddresses", "no usable address", "at least one " + ADDRESS));
        }
        return settings;
    }

    /** Reads the timings, all of which have defaults. */
    private static Timings timings(JsonFields fields) {
        Timings defaults = Timings.DEFAULT;
        if (fields == null) {
            return defaults;
        }
        Timings timings = new Timings(
                fields.number("probeMillis", defaults.probeMillis(), 10, MAX_MILLIS),
                fields.number("probeTimeoutMillis", defaults.probeTimeoutMillis(), 10, MAX_MILLIS),
                fields.number("suspicionMillis", defaults.suspicionMillis(), 10, MAX_MILLIS),
                fields.number("startWaitMillis", defaults.startWaitMillis(), 0, MAX_MILLIS),
                fields.number("watchMillis", defaults.watchMillis(), 10, MAX_MILLIS),
                fields.number("careMillis", defaults.supervisionMillis(), 100, MAX_MILLIS));
        fields.finish();
        return timings;
    }

    /** Reads the names of the TLS files. If the object is present, all of them are required. */
    private static TlsFiles tls(JsonFields fields) {
        if (fields == null) {
            return null;
        }
        TlsFiles files = new TlsFiles(
                fields.text("certificateFile", null), fields.text("keyFile", null), fields.text("trustFile", null));
        fields.finish();
        return files;
    }
}
