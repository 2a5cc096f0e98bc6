package org.apricotstack.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class MainTest {

    private static final Path EXAMPLES = Path.of("..", "examples");

    /** Runs a command line; returns the exit code and the printed text. */
    static String run(String... arguments) {
        PrintStream out = System.out;
        PrintStream err = System.err;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        try (PrintStream stream = new PrintStream(printed, true, StandardCharsets.UTF_8)) {
            System.setOut(stream);
            System.setErr(stream);
            int code = Main.run(arguments);
            return code + " " + printed.toString(StandardCharsets.UTF_8);
        } finally {
            System.setOut(out);
            System.setErr(err);
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "nonsense|2 Expected a command",
                "nonsense|2 bin/apricot --help",
                "mesure|2 Did you mean \"measure\"?",
                "lost-wort --log x|2 Did you mean \"lost-worth\"?",
                "--help|0 Commands:",
                "-h|0 Commands:",
                "help|0 Commands:",
                "help demo|0 Runs a whole deployment",
                "help nonsense|2 bin/apricot --help",
                "--version|0 apricot ",
                "measure --only starts --program /nowhere|3 Cannot read /nowhere/deploy/system.toml",
                "router|2 The following option is required",
                "demo --nope|2 Was passed main parameter",
                "demo --deployment moon|2 Invalid value",
                "check --settings /nowhere|3 Cannot read",
                "check-configuration /nowhere|3 Cannot read",
                "status --address here|2 \"here\" is no address",
                "status --address 127.0.0.1:1|3 No answer from 127.0.0.1:1",
                "demo --help|0 Runs a whole deployment"
            })
    void reportsTheProblemAndReturnsTheDocumentedExitCode(String line, String start) {
        String expected = start.substring(2);
        String result = run(line.split(" "));
        assertThat(result).startsWith(start.substring(0, 1)).contains(expected);
    }

    @Test
    void listsAllCommandsWithoutArguments() {
        String listed = run();
        assertThat(listed).startsWith("0 ");
        assertThat(listed.lines().filter(line -> line.startsWith("  ")))
                .hasSize(18)
                .allMatch(line -> line.strip().split(" +", 2).length == 2);
    }

    /** Returns the settings files of the examples. */
    static Stream<Path> settings() {
        return Stream.of("registry", "cooperative").flatMap(name -> IntStream.rangeClosed(1, 6)
                .mapToObj(number -> EXAMPLES.resolve(name).resolve("router-" + number + ".json")));
    }

    @ParameterizedTest
    @MethodSource("settings")
    void acceptsTheExampleSettings(Path file) {
        assertThat(run("check", "--settings", file.toString())).startsWith("0 ").contains("can be used");
    }

    @ParameterizedTest
    @CsvSource({"registry, 17 upstreams", "cooperative, 19 upstreams"})
    void acceptsTheExampleConfigurations(String name, String size) {
        String file = EXAMPLES.resolve(name).resolve("configuration.json").toString();
        assertThat(run("check-configuration", file)).startsWith("0 ").contains(size);
        assertThat(run("diff-configuration", file, file)).isEqualTo("0 ");
    }

    @Test
    void writesTheSameTraceForTheSameSeed(@TempDir Path folder) {
        String first = folder.resolve("a").toString();
        String second = folder.resolve("b").toString();
        run("generate-trace", "--out", first, "--requests", "50");
        run("generate-trace", "--out", second, "--requests", "50");
        assertThat(Path.of(first)).hasSameTextualContentAs(Path.of(second));
    }
}
