package org.apricotstack.serving;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.core.source64.SplitMix64;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.route.AccountKeys;
import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.core.route.RouteTable;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.OnlyReader;
import org.apricotstack.serving.publication.Publication;
import org.apricotstack.serving.publication.PublicationDecoder;
import org.apricotstack.serving.publication.PublicationFollower;
import org.apricotstack.serving.publication.PublicationSource;
import org.apricotstack.serving.publication.PublishedState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;

class ReadinessLogTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final DecisionLog log = new DecisionLog("host", () -> 0, out);
    private final ServingLoop loop = new ServingLoop(() -> 0);
    private final PublishedState state = new PublishedState(
            new VersionDecoder(), new UpstreamTable(), new OutlierDetector(), new EngineLoadTable(), log);
    private final PublicationFollower follower =
            new PublicationFollower(loop, new FailingSource(), state, log, new SplitMix64(1));
    private final ReadinessLog readiness = new ReadinessLog(state, follower, new PeerTable(), log, 0);

    @AfterEach
    void stop() {
        loop.close();
        log.close();
    }

    /** Decodes any document. */
    private static final class VersionDecoder implements PublicationDecoder {
        @Override
        public ServingConfiguration configuration(Publication document) {
            return new ServingConfiguration(
                    1, new RouteTable(List.of()), Map.of(), CallerLimits.DEFAULT, AccountKeys.NOT_REQUIRED);
        }

        @Override
        public UpstreamEntry upstream(Publication document) {
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

    /** A platform whose calls fail. */
    private static final class FailingSource implements PublicationSource {

        private static <T> Mono<T> failed() {
            return Mono.error(
                    new ApricotException(ErrorCode.PLATFORM_PROTOCOL, "The platform is away; the call is repeated."));
        }

        @Override
        public Mono<Snapshot> readAll() {
            return failed();
        }

        @Override
        public Mono<Check> check() {
            return failed();
        }

        @Override
        public Mono<Changes> awaitChanges(long after, long waitMillis) {
            return failed();
        }
    }

    private List<String> lines(String event) {
        log.close();
        return out.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("\"event\":\"" + event + "\""))
                .toList();
    }

    /** Guards against a router that cannot serve and does not say why. */
    @Test
    void namesWhatIsMissingAndWhyThePlatformDidNotReportIt() {
        state.evacuations().follow(true);
        follower.start(new OnlyReader());
        state.applyUpstreamSnapshot(
                List.of(new Publication(new UpstreamId("a"), 1, new byte[0], false)), 1, "platform", 0);
        readiness.update(ReadinessLog.FIRST_LINE_MILLIS);
        assertThat(lines("serving_impossible"))
                .singleElement()
                .asString()
                .contains("\"lacks\":\"configuration,evacuations\"")
                .contains("\"since_millis\":1000")
                .contains("\"platform_calls\":1")
                .contains("\"platform_faults\":1")
                .contains("The platform is away")
                .contains("\"routers_heard\":0");
    }

    /** Guards against lines that displace others while the platform is away for long. */
    @Test
    void writesFewerLinesTheLongerSomethingIsMissing() {
        for (long now = 0; now <= 60_000; now += 250) {
            readiness.update(now);
        }
        assertThat(lines("serving_impossible")).hasSize(9);
    }

    @Test
    void saysOnceWhenNothingIsMissingAnyMore() {
        readiness.update(500);
        state.applyUpstreamSnapshot(
                List.of(new Publication(new UpstreamId("a"), 1, new byte[0], false)), 1, "platform", 0);
        state.apply(new Publication(null, 2, new byte[0], false), "platform");
        readiness.update(750);
        readiness.update(60_000);
        assertThat(lines("serving_possible")).singleElement().asString().contains("\"after_millis\":750");
        assertThat(lines("serving_impossible")).isEmpty();
    }
}
