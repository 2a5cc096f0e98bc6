package org.apricotstack.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apricotstack.core.configuration.ClientAccount;
import org.apricotstack.core.configuration.FleetConfiguration;

/** Shows which documents two configurations differ in, and which client accounts that touches. */
@Parameters(commandDescription = "Shows what changes between two configuration files, and whom it touches.")
final class DiffConfigurationCommand extends Command {

    private static final String ALL = "all client accounts";

    @Parameter(required = true, arity = 2, description = "OLD NEW")
    private List<String> files;

    @Override
    int run() {
        if (files.size() != 2) {
            System.err.println("Give two files: the old configuration and the new one.");
            return ExitCode.USAGE;
        }
        Map<String, String> before = ConfigurationFile.read(Path.of(files.get(0)));
        Map<String, String> after = ConfigurationFile.read(Path.of(files.get(1)));
        FleetConfiguration target = ConfigurationFile.validated(Path.of(files.get(1)));
        TreeSet<String> keys = new TreeSet<>(before.keySet());
        keys.addAll(after.keySet());
        for (String key : keys) {
            String change = change(before.get(key), after.get(key));
            if (change != null) {
                System.out.println(change + " " + key + ": " + touched(key, target));
            }
        }
        return ExitCode.OK;
    }

    /** Names the change of one document, or returns {@code null}. */
    private static String change(String before, String after) {
        if (before == null) {
            return "added  ";
        }
        if (after == null) {
            return "removed";
        }
        return before.equals(after) ? null : "changed";
    }

    /** Says which client accounts a document touches. */
    private static String touched(String key, FleetConfiguration configuration) {
        String name = key.substring(key.indexOf('/') + 1);
        if (key.startsWith("accounts/")) {
            return "client account " + name;
        }
        if (!key.startsWith("services/")) {
            return ALL;
        }
        List<String> accounts = configuration.parts().accounts().values().stream()
                .filter(account -> uses(account, name))
                .map(account -> account.id().value())
                .toList();
        return accounts.isEmpty() ? "no client account" : "client accounts " + accounts;
    }

    /** Tells whether a client account may use a service. */
    private static boolean uses(ClientAccount account, String service) {
        return account.services().stream().anyMatch(id -> id.value().equals(service));
    }
}
