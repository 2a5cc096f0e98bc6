package org.apricotstack.serving.observe;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.publication.Publication;
import org.apricotstack.serving.publication.PublicationDecoder;
import org.apricotstack.serving.publication.PublishedState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how many log lines entries of other writers cause. */
class RejectedEntriesLogTest {

    private static final int ODD_ENTRIES = 500;

    /** Maximum number of log lines about rejected entries that stand at the same time. */
    private static final int MAX_LINES = 256;

    /** Heartbeats of an upstream in a minute, at which it writes its entry. */
    private static final int HEARTBEATS = 50;

    private static final byte[] ODD = {'['};
    private static final byte[] SOUND = {};

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final DecisionLog log = new DecisionLog("host", () -> 0, out);
    private final UpstreamTable upstreams = new UpstreamTable();
    private final PublishedState state =
            new PublishedState(new ContentDecoder(), upstreams, new OutlierDetector(), new EngineLoadTable(), log);
    private long revision;

    @AfterEach
    void stop() {
        log.close();
    }

    /** Rejects the odd content. */
    private static final class ContentDecoder implements PublicationDecoder {
        @Override
        public ServingConfiguration configuration(Publication document) {
            throw new ApricotException(ErrorCode.INVALID_CONFIGURATION, "The configuration is odd; replace it.");
        }

        @Override
        public UpstreamEntry upstream(Publication document) {
            if (document.content() == ODD) {
                throw new ApricotException(ErrorCode.INVALID_CONFIGURATION, "The entry is odd; replace it.");
            }
            return new UpstreamEntry(
                    document.upstream(),
                    new ServiceId("service"),
                    new Address("127.0.0.1", 1),
                    new DataCentreId("east"),
                    4,
                    false,
                    document.revision());
        }
    }

    private Publication entry(String id, byte[] content) {
        return new Publication(new UpstreamId(id), ++revision, content, false);
    }

    private List<Publication> oddEntries() {
        return new ArrayList<>(IntStream.range(0, ODD_ENTRIES)
                .mapToObj(i -> entry("odd-" + i, ODD))
                .toList());
    }

    private long linesOf(String event) {
        log.close();
        return out.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("\"" + event + "\""))
                .count();
    }

    @Test
    void logsAnEntryOnceThatItsWriterRewritesAtEachHeartbeat() {
        for (int i = 0; i < HEARTBEATS; i++) {
            state.apply(entry("odd", ODD), "watch");
        }
        assertThat(state.rejected()).isEqualTo(HEARTBEATS);
        assertThat(linesOf("document_rejected")).isEqualTo(1);
    }

    @Test
    void logsAnEntryOnceForEachTimeThatItWasSound() {
        for (int i = 0; i < HEARTBEATS; i++) {
            state.apply(entry("odd", i % 2 == 0 ? SOUND : ODD), "watch");
        }
        assertThat(linesOf("document_rejected")).isEqualTo(HEARTBEATS / 2);
    }

    @Test
    void usesTheSoundEntriesAmongManyOddOnesWithABoundedLog() {
        for (int read = 0; read < HEARTBEATS; read++) {
            List<Publication> listed = oddEntries();
            listed.add(entry("sound-1", SOUND));
            listed.add(0, entry("sound-2", SOUND));
            state.applyUpstreamSnapshot(listed, revision, "list", 0);
        }
        assertThat(state.rejected()).isEqualTo((long) HEARTBEATS * ODD_ENTRIES);
        assertThat(upstreams.usable(new ServiceId("service"))).hasSize(2);
        assertThat(linesOf("document_rejected")).isEqualTo(MAX_LINES);
    }

    /** Entries that are gone without an event, as after a lost connection, must not use up the bound. */
    @Test
    void logsOddEntriesAfterEarlierOnesAreGoneFromTheList() {
        state.applyUpstreamSnapshot(oddEntries(), revision, "list", 0);
        state.applyUpstreamSnapshot(List.of(), ++revision, "list", 0);
        state.apply(entry("odd-later", ODD), "watch");
        assertThat(linesOf("document_rejected")).isEqualTo(MAX_LINES + 1);
    }

    /** The platform is asked for its configuration every second. */
    @Test
    void logsAnOddConfigurationOnceForEachRevision() {
        for (int published = 0; published < 2; published++) {
            Publication odd = new Publication(null, ++revision, ODD, false);
            for (int i = 0; i < HEARTBEATS; i++) {
                state.apply(odd, "platform_check");
            }
        }
        assertThat(state.rejected()).isEqualTo(2L * HEARTBEATS);
        assertThat(linesOf("document_rejected")).isEqualTo(2);
    }
}
