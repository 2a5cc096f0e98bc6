package org.apricotstack.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apricotstack.bench.engine.EngineSpeed;
import org.apricotstack.bench.engine.StandInEngine;
import org.apricotstack.bench.platform.StandInPlatform;
import org.apricotstack.bench.service.StandInService;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.replication.ReplicationTopic;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Runs a simulated platform, engine or plain service. */
@Parameters(commandDescription = "Runs a stand-in: platform, engine or service.")
final class StandInCommand extends Command {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

    @Parameter(required = true, description = "platform|engine|service")
    private List<Kind> kinds;

    @Parameter(
            names = "--listen",
            required = true,
            description = "Addresses to listen on, IP:PORT,…; engine and service start one stand-in for each.")
    private List<String> listen;

    @Parameter(names = "--configuration", description = "platform: file with the configuration; changes are published.")
    private String configuration;

    @Parameter(names = "--roster", description = "platform: file with the roster; changes are published.")
    private String roster;

    @Parameter(names = "--pace", description = "engine: speed relative to the model.")
    private double pace = 1;

    @Parameter(names = "--ignores-fencing", description = "engine: accepts orders with an outdated fencing number.")
    private boolean ignoresFencing;

    @Parameter(names = "--delay-millis", description = "service: duration of a call.")
    private long delayMillis = 5;

    /** Kinds of stand-ins. */
    enum Kind {
        /** The platform, which serves configuration and roster documents. */
        PLATFORM,
        /** An engine that runs a language model. */
        ENGINE,
        /** A plain service. */
        SERVICE
    }

    @Override
    int run() {
        StandInService.Ledger ledger = new StandInService.Ledger();
        for (String text : listen) {
            start(Address.parse(text), ledger);
            Logger.info("event=started stand_in={} address={}", kinds.get(0), text);
        }
        Mono.never().block();
        return ExitCode.OK;
    }

    /** Starts one stand-in. */
    private void start(Address address, StandInService.Ledger ledger) {
        switch (kinds.get(0)) {
            case PLATFORM -> platform(address);
            case ENGINE -> new StandInEngine(address, EngineSpeed.DEFAULT, pace, !ignoresFencing);
            default -> new StandInService(address, ledger, Duration.ofMillis(delayMillis));
        }
    }

    /** Runs the platform and publishes the files whenever they change. */
    private void platform(Address address) {
        StandInPlatform platform = new StandInPlatform(address);
        PublishedFile configurationDocuments = new PublishedFile(ReplicationTopic.CONFIGURATION, configuration);
        PublishedFile rosterDocuments = new PublishedFile(ReplicationTopic.ROSTER, roster);
        Flux.interval(Duration.ZERO, POLL_INTERVAL).onBackpressureDrop().subscribe(tick -> {
            configurationDocuments.publishChanges(platform);
            rosterDocuments.publishChanges(platform);
        });
    }

    /** A file that is published on a topic. */
    private static final class PublishedFile {
        private final ReplicationTopic topic;
        private final String file;
        private Map<String, String> last = Map.of();

        /** Creates a file that has not been published yet. */
        private PublishedFile(ReplicationTopic topic, String file) {
            this.topic = topic;
            this.file = file;
        }

        /** Publishes the documents that have changed since the last call. */
        private void publishChanges(StandInPlatform platform) {
            if (file == null) {
                return;
            }
            Map<String, String> now;
            try {
                now = ConfigurationFile.read(Path.of(file));
            } catch (ApricotException e) {
                return;
            }
            Map<String, String> changed = new TreeMap<>(now);
            changed.entrySet().removeIf(entry -> entry.getValue().equals(last.get(entry.getKey())));
            List<String> removed =
                    last.keySet().stream().filter(key -> !now.containsKey(key)).toList();
            if (!changed.isEmpty() || !removed.isEmpty()) {
                long version = platform.publish(topic, changed, removed);
                Logger.info("event=published topic={} version={}", topic, version);
            }
            last = now;
        }
    }
}
