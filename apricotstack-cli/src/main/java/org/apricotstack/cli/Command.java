package org.apricotstack.cli;

import com.beust.jcommander.Parameter;

/** Base class of all commands; the options are fields of the subclass. */
abstract class Command {

    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Shows the options of this command.")
    private boolean help;

    /** Returns whether only the help text is requested. */
    boolean isHelp() {
        return help;
    }

    /** Runs the command and returns its exit code. */
    abstract int run();
}
