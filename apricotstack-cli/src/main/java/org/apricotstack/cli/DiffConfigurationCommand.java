package org.apricotstack.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.apricotstack.core.configuration.ClientAccount;
import org.apricotstack.core.configuration.FleetConfiguration;

/** Lists the documents that differ between two configurations and the client accounts that are affected. */
@Parameters(
        commandDescription = "Lists the differences between two configuration files and the client accounts affected.")
final class DiffConfigurationCommand extends Command {

    private static final String ALL = "all client accounts";

    @Parameter(required = true, arity = 2, description = "OLD NEW")
    private List<String> files;

    @Override
    int run() {
        if (files.size() != 2) {
            System.err.println("Pass two files: the old configuration and the new one.");
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
                System.out.println(change + " " + key + ": " + affected(key, target));
            }
        }
        return ExitCode.OK;
    }

    /** Returns the kind of change of one document; {@code null} if it did not change. */
    private static String change(String before, String after) {
        if (before == null) {
            return "added  ";
        }
        if (after == null) {
            return "removed";
        }
        return before.equals(after) ? null : "changed";
    }

    /** Describes the client accounts that a document affects. */
    private static String affected(String key, FleetConfiguration configuration) {
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

    /** Returns whether a client account may use a service. */
    private static boolean uses(ClientAccount account, String service) {
        return account.services().stream().anyMatch(id -> id.value().equals(service));
    }
}
