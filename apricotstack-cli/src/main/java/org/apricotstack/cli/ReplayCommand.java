package org.apricotstack.cli;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apricotstack.bench.engine.EngineSpeed;
import org.apricotstack.bench.replay.Replay;
import org.apricotstack.bench.replay.ReplayCaller;
import org.apricotstack.bench.replay.ReplayReport;
import org.apricotstack.bench.replay.ReplayResult;
import org.apricotstack.bench.trace.TraceFiles;
import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.id.Address;

/** Replays a trace against running routers. */
@Parameters(
        commandDescription = "Replays a trace against running routers; exits 1 unless all requests ended as expected.")
final class ReplayCommand extends Command {

    @Parameter(names = "--trace", required = true, description = "File with the trace, one JSON object per line.")
    private String trace;

    @Parameter(names = "--entries", required = true, description = "Addresses of entry hosts, A,B,…")
    private List<String> entries;

    @Parameter(names = "--speed", description = "Replay speed relative to the timestamps of the trace.")
    private double speed = 1;

    @Parameter(names = "--wait-seconds", description = "Time after which an unfinished request counts as late.")
    private long waitSeconds = 130;

    @Override
    int run() {
        List<Address> addresses = entries.stream().map(Address::parse).toList();
        try (ReplayCaller caller = new ReplayCaller(addresses, Duration.ofSeconds(waitSeconds))) {
            List<ReplayResult> results = Replay.run(TraceFiles.read(Path.of(trace)), caller, speed, result -> {});
            ReplayReport report = new ReplayReport(results, FleetLimits.DEFAULT, EngineSpeed.DEFAULT, 1);
            System.out.println(report.table());
            return report.unexpected().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
        }
    }
}
