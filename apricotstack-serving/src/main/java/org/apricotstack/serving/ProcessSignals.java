package org.apricotstack.serving;

import sun.misc.Signal;

/**
 * Handles the signals that the operating system sends to the process.
 *
 * <p>The Java runtime ends the process at SIGHUP unless a handler is installed, and the only class that installs one
 * is {@code sun.misc.Signal}, which the module {@code jdk.unsupported} exports for this use.
 */
public final class ProcessSignals {

    private ProcessSignals() {}

    /**
     * Installs a handler for SIGTERM.
     *
     * @param stop starts the shutdown; called again at each further signal
     */
    public static void onStop(Runnable stop) {
        Signal.handle(new Signal("TERM"), signal -> stop.run());
    }

    /**
     * Installs a handler for SIGHUP.
     *
     * @param reload reads the settings file again
     */
    public static void onReload(Runnable reload) {
        Signal.handle(new Signal("HUP"), signal -> reload.run());
    }
}
