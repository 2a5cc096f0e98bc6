package org.apricotstack.cli;

import java.util.Comparator;
import java.util.Map;
import java.util.Set;

import com.beust.jcommander.JCommander;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Prints the list of commands and suggests a command for a mistyped one. */
final class CommandHelp {

    private static final Set<String> HELP_ARGUMENTS = Set.of("--help", "-h", "help");
    private static final String VERSION_ARGUMENT = "--version";

    /** Largest edit distance between a mistyped command and the suggested one. */
    private static final int MAX_EDIT_DISTANCE = 4;

    private final JCommander parser;

    /** Creates the help for a parser with which all commands are registered. */
    CommandHelp(JCommander parser) {
        this.parser = parser;
    }

    /** Prints help or the version if the command line requests it; returns whether it did. */
    boolean handle(String[] arguments) {
        if (arguments.length == 0 || arguments.length == 1 && HELP_ARGUMENTS.contains(arguments[0])) {
            System.out.print(list());
            return true;
        }
        if (arguments.length == 1 && arguments[0].equals(VERSION_ARGUMENT)) {
            System.out.println(parser.getProgramName() + " " + version());
            return true;
        }
        boolean requestsCommandHelp = arguments.length == 2 && arguments[0].equals("help");
        if (requestsCommandHelp && parser.getCommands().containsKey(arguments[1])) {
            parser.getUsageFormatter().usage(arguments[1]);
            return true;
        }
        return false;
    }

    /** Lists the commands, one per line. */
    private String list() {
        Map<String, JCommander> commands = parser.getCommands();
        int width = commands.keySet().stream().mapToInt(String::length).max().orElse(0);
        StringBuilder text = new StringBuilder("Usage: apricot COMMAND [OPTIONS]\n\nCommands:\n");
        commands.keySet().forEach(name -> text.append("  ")
                .append(name)
                .append(" ".repeat(width - name.length() + 2))
                .append(parser.getUsageFormatter().getCommandDescription(name))
                .append('\n'));
        text.append("\n\"apricot COMMAND --help\" lists the options of a command.\n");
        return text.append("\"apricot --version\" prints the version.\n").toString();
    }

    /** Returns the version of the program. */
    private static String version() {
        String version = CommandHelp.class.getPackage().getImplementationVersion();
        return version == null ? "not packaged" : version;
    }

    /** Returns a suggestion for an unknown command; empty if the first argument is a command. */
    String suggestion(String[] arguments) {
        Map<String, JCommander> commands = parser.getCommands();
        if (commands.containsKey(arguments[0])) {
            return "";
        }
        LevenshteinDistance distance = new LevenshteinDistance();
        return commands.keySet().stream()
                .min(Comparator.comparingInt(name -> distance.apply(arguments[0], name)))
                .filter(name -> distance.apply(arguments[0], name) <= MAX_EDIT_DISTANCE)
                .map(name -> "Did you mean \"" + name + "\"? ")
                .orElse("");
    }
}
