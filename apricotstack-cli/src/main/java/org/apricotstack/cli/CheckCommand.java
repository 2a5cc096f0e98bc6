package org.apricotstack.cli;

import java.nio.file.Path;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apricotstack.adapters.settings.SettingsReader;

/** Validates a settings file and reports all its problems. */
@Parameters(commandDescription = "Checks a settings file; exits 2 and lists every problem if it cannot be used.")
final class CheckCommand extends Command {

    @Parameter(names = "--settings", required = true, description = "File with the settings.")
    private String settings;

    @Override
    int run() {
        SettingsReader.readFile(Path.of(settings));
        System.out.println(settings + " can be used.");
        return ExitCode.OK;
    }
}
