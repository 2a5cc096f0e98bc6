package org.apricotstack.cli;

import java.nio.file.Path;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apricotstack.core.configuration.FleetConfiguration;

/** Validates configuration files before they are published. */
@Parameters(commandDescription = "Validates configuration files as the routers do; exits 2 and lists every problem.")
final class CheckConfigurationCommand extends Command {

    @Parameter(required = true, description = "FILE")
    private List<String> files;

    @Override
    int run() {
        for (String file : files) {
            FleetConfiguration configuration = ConfigurationFile.validated(Path.of(file));
            System.out.println(file + " can be published: "
                    + configuration.parts().accounts().size() + " client accounts, "
                    + configuration.parts().services().size() + " services, "
                    + configuration.parts().upstreams().size() + " upstreams, preset "
                    + configuration.presetId() + ".");
        }
        return ExitCode.OK;
    }
}
