package org.apricotstack.serving;

import sun.misc.Signal;

/**
 * Takes the signals that the operating system sends to the process.
 *
 * <p>The Java runtime ends the process at SIGHUP unless a handler is installed, and the only class that installs one is
 * {@code sun.misc.Signal}, which the module {@code jdk.unsupported} exports for this use.
 */
public final class ProcessSignals {

    private ProcessSignals() {}

    /**
     * Installs what happens at SIGTERM.
     *
     * @param stop begins to stop; called again at each further signal
     */
    public static void onStop(Runnable stop) {
        Signal.handle(new Signal("TERM"), signal -> stop.run());
    }

    /**
     * Installs what happens at SIGHUP.
     *
     * @param reload looks at the settings file again
     */
    public static void onReload(Runnable reload) {
        Signal.handle(new Signal("HUP"), signal -> reload.run());
    }
}
