package org.apricotstack.cli;

/** Exit codes of {@code bin/apricot}. */
public final class ExitCode {

    /** Success. */
    public static final int OK = 0;

    /** The command ran and found a failure or an unmet condition. */
    public static final int FAILED = 1;

    /** The command line, a settings file, a configuration or a trace is invalid. */
    public static final int USAGE = 2;

    /** A file, an address or a host cannot be reached. */
    public static final int ENVIRONMENT = 3;

    private ExitCode() {}
}
