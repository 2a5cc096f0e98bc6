package org.apricotstack.cli;

import java.util.LinkedHashMap;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;

/** Parses the command line and runs one command. */
public final class Main {

    private static final String PROGRAM = "apricot";

    private Main() {}

    /**
     * Runs the program and ends the process with one of the {@link ExitCode}s.
     *
     * @param arguments the command and its options
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    /**
     * Runs the program.
     *
     * @param arguments the command and its options
     * @return the exit code
     */
    static int run(String[] arguments) {
        Map<String, Command> commands = commands();
        JCommander parser = JCommander.newBuilder().programName(PROGRAM).build();
        commands.forEach(parser::addCommand);
        CommandHelp help = new CommandHelp(parser);
        if (help.handle(arguments)) {
            return ExitCode.OK;
        }
        try {
            parser.parse(arguments);
        } catch (ParameterException e) {
            return usage(parser, e.getMessage(), help.suggestion(arguments));
        }
        Command command = commands.get(parser.getParsedCommand());
        if (command == null) {
            return usage(parser, "A command is missing.", help.suggestion(arguments));
        }
        if (command.isHelp()) {
            parser.getUsageFormatter().usage(parser.getParsedCommand());
            return ExitCode.OK;
        }
        try {
            return command.run();
        } catch (ApricotException e) {
            System.err.println(e.getMessage());
            return e.code() == ErrorCode.ENVIRONMENT ? ExitCode.ENVIRONMENT : ExitCode.USAGE;
        }
    }

    /** Prints the problem of the command line and how to get help. */
    private static int usage(JCommander parser, String problem, String suggestion) {
        String named = parser.getParsedCommand();
        System.err.println(problem);
        System.err.println(
                named == null
                        ? suggestion + "Run \"bin/apricot --help\" for the commands."
                        : "Run \"bin/apricot " + named + " --help\" for the options of this command.");
        return ExitCode.USAGE;
    }

    /** Creates all commands, indexed by name. */
    private static Map<String, Command> commands() {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("demo", new DemoCommand());
        commands.put("router", new RouterCommand());
        commands.put("check", new CheckCommand());
        commands.put("check-configuration", new CheckConfigurationCommand());
        commands.put("diff-configuration", new DiffConfigurationCommand());
        commands.put("status", new StatusCommand());
        commands.put("fleet", new FleetCommand());
        commands.put("wait-in-force", new WaitInForceCommand());
        commands.put("drain", new DrainCommand());
        commands.put("explain", new ExplainCommand());
        commands.put("replay", new ReplayCommand());
        commands.put("generate-trace", new GenerateTraceCommand());
        commands.put("experiment", new ExperimentCommand());
        commands.put("measure", new MeasureCommand());
        commands.put("stand-in", new StandInCommand());
        commands.put("trace-request", new TraceRequestCommand());
        commands.put("lost-worth", new LostValueCommand());
        commands.put("stop-report", new StopReportCommand());
        return commands;
    }
}
