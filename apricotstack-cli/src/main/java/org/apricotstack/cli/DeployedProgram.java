package org.apricotstack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.apricotstack.bench.measure.RouterPrograms;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.platform.MeasuredFleet;

/** The program as {@code deploy/system.toml} runs it. */
final class DeployedProgram {

    /** Engines that the store lists, as many as a deployment with some eighty hosts has. */
    private static final int ENGINES = 80;

    private final Path root;
    private final List<String> command;

    /** Reads how the program is run that was built in a folder. */
    DeployedProgram(Path root) {
        this.root = root;
        Path file = root.resolve("deploy/system.toml");
        try {
            JsonNode run = new TomlMapper()
                    .readTree(Files.readString(file))
                    .path("roles")
                    .path("router")
                    .path("run");
            this.command = List.of(run.asText().split(" "));
        } catch (IOException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT, "Cannot read " + file + "; run this in the folder of the sources.", e);
        }
        if (!Files.exists(root.resolve("target/apricotstack.jar"))) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT,
                    "There is no " + root.resolve("target/apricotstack.jar") + "; run the build of " + file
                            + " first.");
        }
    }

    /** Starts a fleet without routers. */
    RouterPrograms fleet() {
        MeasuredFleet fleet = new MeasuredFleet(root, command, ENGINES);
        return new RouterPrograms() {
            @Override
            public ProcessHandle start() {
                return fleet.start();
            }

            @Override
            public void close() {
                fleet.close();
            }
        };
    }
}
