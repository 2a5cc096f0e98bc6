package org.apricotstack.serving.publication;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.route.AccountKeys;
import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.core.route.RouteTable;
import org.apricotstack.core.route.ServingConfiguration;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.core.upstream.UpstreamTable;
import org.apricotstack.serving.observe.DecisionLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class FailingDecoderTest {

    private static final String ODD = "odd";
    private static final String SOURCE = "platform";
    private static final Publication SOUND_DOCUMENT = upstream("sound", 2);
    private static final Publication ODD_DOCUMENT = upstream(ODD, 1);
    private static final long FAILING_REVISION = 4;

    private final DecisionLog log = new DecisionLog("host", () -> 0);

    @AfterEach
    void stop() {
        log.close();
    }

    /**
     * Throws for one upstream and for one revision of the configuration.
     *
     * @param failure what it throws
     */
    private record FailingDecoder(Throwable failure) implements PublicationDecoder {

        @Override
        public ServingConfiguration configuration(Publication document) {
            if (document.revision() == FAILING_REVISION) {
                throw unchecked();
            }
            return new ServingConfiguration(
                    document.revision(),
                    new RouteTable(List.of()),
                    Map.of(),
                    CallerLimits.DEFAULT,
                    AccountKeys.NOT_REQUIRED);
        }

        @Override
        public UpstreamEntry upstream(Publication document) {
            if (document.upstream().value().equals(ODD)) {
                throw unchecked();
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

        private RuntimeException unchecked() {
            if (failure instanceof Error error) {
                throw error;
            }
            return (RuntimeException) failure;
        }
    }

    static Stream<Throwable> failures() {
        return Stream.of(
                new IllegalStateException(),
                new ArithmeticException("overflow"),
                new StackOverflowError(),
                new NoClassDefFoundError("decoder"));
    }

    private static Publication upstream(String name, long revision) {
        return new Publication(new UpstreamId(name), revision, new byte[0], false);
    }

    private static Publication configuration(long revision) {
        return new Publication(null, revision, new byte[0], false);
    }

    private PublishedState state(Throwable failure) {
        return new PublishedState(
                new FailingDecoder(failure), new UpstreamTable(), new OutlierDetector(), new EngineLoadTable(), log);
    }

    /** Guards against a list of upstreams that is lost for one entry whose decoder fails. */
    @ParameterizedTest
    @MethodSource("failures")
    void readsTheOtherUpstreamsOfAList(Throwable failure) {
        PublishedState state = state(failure);
        state.applyUpstreamSnapshot(List.of(ODD_DOCUMENT, SOUND_DOCUMENT), 2, SOURCE, 0);
        assertThat(state.upstreamsListed()).isEqualTo(1);
        assertThat(state.rejected()).isEqualTo(1);
    }

    @ParameterizedTest
    @MethodSource("failures")
    void appliesTheNextChangeAfterAnEntryThatCannotBeDecoded(Throwable failure) {
        PublishedState state = state(failure);
        List.of(ODD_DOCUMENT, SOUND_DOCUMENT).forEach(document -> state.apply(document, SOURCE));
        assertThat(state.upstreamsListed()).isEqualTo(1);
        assertThat(state.rejected()).isEqualTo(1);
    }

    @ParameterizedTest
    @MethodSource("failures")
    void keepsTheConfigurationInForceIfTheNextOneCannotBeDecoded(Throwable failure) {
        PublishedState state = state(failure);
        state.apply(configuration(FAILING_REVISION - 1), SOURCE);
        state.apply(configuration(FAILING_REVISION), SOURCE);
        assertThat(state.configurationVersion()).isEqualTo(FAILING_REVISION - 1);
        assertThat(state.rejected()).isEqualTo(1);
    }
}
