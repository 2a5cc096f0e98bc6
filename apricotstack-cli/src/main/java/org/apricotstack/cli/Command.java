package org.apricotstack.cli;

import com.beust.jcommander.Parameter;

/** One command; its options are fields of the subclass. */
abstract class Command {

    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Shows the options of this command.")
    private boolean help;

    /** Tells whether only the options are to be shown. */
    boolean isHelp() {
        return help;
    }

    /** Runs the command and returns its exit code. */
    abstract int run();
}
