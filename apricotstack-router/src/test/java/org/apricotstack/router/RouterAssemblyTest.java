package org.apricotstack.router;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.apricotstack.adapters.json.KeyDigests;
import org.apricotstack.adapters.settings.RouterSettings;
import org.apricotstack.adapters.settings.RouterSettings.Timings;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.router.StopController.Stage;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against components of a router that are not connected. */
class RouterAssemblyTest {

    private static final Address ANY_PORT = new Address("127.0.0.1", 0);
    private static final Duration LONG = Duration.ofSeconds(60);

    private final VirtualTimeScheduler time = VirtualTimeScheduler.create();
    private final RouterAssembly parts = new RouterAssembly(
            new RouterSettings(
                    new HostId("r1"),
                    new DataCentreId("dc"),
                    ANY_PORT,
                    ANY_PORT,
                    ANY_PORT,
                    List.of(ANY_PORT),
                    List.of(),
                    KeyDigests.of("operators"),
                    1 << 20,
                    Timings.DEFAULT,
                    null,
                    null),
            new RouterRuntime(() -> time.now(TimeUnit.NANOSECONDS), time, 1, RouterRuntime.DEFAULT_STOP_LIMIT));

    @Test
    void endsOnlyOnceNoRequestOfACallerIsOpen() {
        Disposable request = parts.openRequests.track(Mono::never).subscribe();
        parts.stop.drain();
        time.advanceTimeBy(LONG);
        assertThat(parts.stop.stage()).isEqualTo(Stage.LEAVING);
        request.dispose();
        time.advanceTimeBy(LONG);
        assertThat(parts.stop.stage()).isEqualTo(Stage.ENDED);
    }
}
