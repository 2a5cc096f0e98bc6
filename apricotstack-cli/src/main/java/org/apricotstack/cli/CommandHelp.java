package org.apricotstack.cli;

import java.util.Comparator;
import java.util.Map;
import java.util.Set;

import com.beust.jcommander.JCommander;
import org.apache.commons.text.similarity.LevenshteinDistance;

/** Tells which commands there are and which one was probably meant. */
final class CommandHelp {

    private static final Set<String> HELP_WORDS = Set.of("--help", "-h", "help");
    private static final String VERSION_WORD = "--version";

    /** Letters by which a mistyped command may differ from the one that was meant. */
    private static final int MOST_WRONG_LETTERS = 4;

    private final JCommander parser;

    /** Creates the help of a parser that knows all commands. */
    CommandHelp(JCommander parser) {
        this.parser = parser;
    }

    /** Answers a command line that asks for help or the version; tells whether it did. */
    boolean answers(String[] arguments) {
        if (arguments.length == 0 || arguments.length == 1 && HELP_WORDS.contains(arguments[0])) {
            System.out.print(list());
            return true;
        }
        if (arguments.length == 1 && arguments[0].equals(VERSION_WORD)) {
            System.out.println(parser.getProgramName() + " " + version());
            return true;
        }
        boolean asksForOne = arguments.length == 2 && arguments[0].equals("help");
        if (asksForOne && parser.getCommands().containsKey(arguments[1])) {
            parser.getUsageFormatter().usage(arguments[1]);
            return true;
        }
        return false;
    }

    /** Lists the commands, a line each. */
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
        return text.append("\"apricot --version\" tells the version.\n").toString();
    }

    /** Returns the version of the program. */
    private static String version() {
        String version = CommandHelp.class.getPackage().getImplementationVersion();
        return version == null ? "not packaged" : version;
    }

    /** Returns what to try after a command that does not exist; nothing if the first word is a command. */
    String remedy(String[] arguments) {
        Map<String, JCommander> commands = parser.getCommands();
        if (commands.containsKey(arguments[0])) {
            return "";
        }
        LevenshteinDistance distance = new LevenshteinDistance();
        return commands.keySet().stream()
                .min(Comparator.comparingInt(name -> distance.apply(arguments[0], name)))
                .filter(name -> distance.apply(arguments[0], name) <= MOST_WRONG_LETTERS)
                .map(name -> "Did you mean \"" + name + "\"? ")
                .orElse("");
    }
}
