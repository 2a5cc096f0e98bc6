package org.apricotstack.router;

import java.net.URISyntaxException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import io.netty.handler.ssl.SslContext;
import org.apricotstack.adapters.json.KeyDigests;
import org.apricotstack.adapters.peer.GrpcPeerClient;
import org.apricotstack.adapters.settings.RouterSettings;
import org.apricotstack.adapters.settings.RouterSettings.Timings;
import org.apricotstack.adapters.settings.RouterSettings.TlsFiles;
import org.apricotstack.adapters.tls.TlsContexts;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.membership.PeerProbes.ProbeAnswer;
import org.apricotstack.core.membership.PeerProbes.ProbePayload;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.core.publisher.Mono;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/** Checks that routers and peer clients accept only certificates of the trusted authority. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PeerTlsTest {

    private static final Address ANY_PORT = new Address("127.0.0.1", 0);
    private static final ProcessId CLIENT = new ProcessId(new HostId("client"), 1);

    private Router router;

    private static TlsFiles files(String name, String trusted) {
        return new TlsFiles(resource(name + ".pem"), resource(name + ".key"), resource(trusted + "-root.pem"));
    }

    private static String resource(String name) {
        try {
            return Path.of(PeerTlsTest.class.getResource("/tls/" + name).toURI())
                    .toString();
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    @BeforeAll
    void start() {
        RouterSettings settings = new RouterSettings(
                new HostId("r1"),
                new DataCentreId("dc"),
                ANY_PORT,
                ANY_PORT,
                ANY_PORT,
                List.of(new Address("127.0.0.1", 1)),
                List.of(),
                KeyDigests.of("operators"),
                1 << 20,
                Timings.DEFAULT,
                null,
                files("fleet", "fleet"));
        router = new Router(settings, RouterRuntime.system());
        router.start();
    }

    @AfterAll
    void stop() {
        router.kill();
    }

    private Mono<ProbeAnswer> probe(SslContext tls) {
        ProbePayload payload = new ProbePayload(CLIENT, List.of(), Map.of());
        return Mono.using(
                () -> new GrpcPeerClient(CLIENT, tls, System::nanoTime, () -> payload),
                client -> client.probeAddress(new Address("127.0.0.1", router.peerPort()), payload),
                GrpcPeerClient::close);
    }

    @Test
    void answersAClientWithATrustedCertificate() {
        ProbeAnswer answer =
                probe(TlsContexts.peerClient(files("fleet", "fleet"))).block(Duration.ofSeconds(20));
        assertThat(answer.payload().sender()).isEqualTo(router.process());
    }

    @ParameterizedTest
    @CsvSource({"stranger, fleet", "fleet, stranger", "stranger, stranger"})
    void rejectsAnUntrustedCertificateOnEitherSide(String certificate, String trusted) {
        Mono<ProbeAnswer> probe = probe(TlsContexts.peerClient(files(certificate, trusted)));
        assertThatExceptionOfType(RuntimeException.class).isThrownBy(() -> probe.block(Duration.ofSeconds(20)));
    }

    @Test
    void rejectsAClientWithoutTls() {
        Mono<ProbeAnswer> probe = probe(null);
        assertThatExceptionOfType(RuntimeException.class).isThrownBy(() -> probe.block(Duration.ofSeconds(20)));
    }

    @Test
    void reportsUnusableTlsFiles() {
        TlsFiles wrong = new TlsFiles(resource("fleet.key"), resource("fleet.pem"), resource("fleet-root.pem"));
        assertThatExceptionOfType(ApricotException.class)
                .isThrownBy(() -> TlsContexts.peerServer(wrong))
                .withMessageContaining("check that they are PEM files")
                .satisfies(e -> assertThat(e.code()).isEqualTo(ErrorCode.INVALID_SETTINGS));
    }
}
