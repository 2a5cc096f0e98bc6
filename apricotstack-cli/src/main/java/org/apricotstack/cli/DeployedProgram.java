package org.apricotstack.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.apricotstack.bench.measure.RouterProcesses;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.platform.MeasuredFleet;

/** The built program, started with the command in {@code deploy/system.toml}. */
final class DeployedProgram {

    /** Number of engines in the store, as in a deployment with about 80 hosts. */
    private static final int ENGINES = 80;

    private final Path root;
    private final List<String> command;

    /** Reads the start command of the program that was built in a folder. */
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

    /** Starts the platform of a fleet that has no routers yet. */
    RouterProcesses fleet() {
        MeasuredFleet fleet = new MeasuredFleet(root, command, ENGINES);
        return new RouterProcesses() {
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
