package dev.wigeonward.common.vms;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.base.Ascii;
import com.google.common.base.Preconditions;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/**
 * Parser for answers of the VM list, which have the fields {@code version}, {@code full} and {@code vms}. A full answer
 * replaces the list. Any other answer holds the VMs that changed since the requested version, with removed VMs in state
 * {@code gone}.
 */
final class VmListAnswer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final System.Logger LOG = System.getLogger(VmListAnswer.class.getName());
    private static final String GONE = "gone";
    private static final int MAX_LOGGED_CHARACTERS = 200;

    private VmListAnswer() {}

    /**
     * Returns the list that results from applying an answer to the current list.
     *
     * @throws IOException if the answer as a whole is malformed; a single VM that is malformed is left out
     */
    static VmSnapshot apply(VmSnapshot current, String text) throws IOException {
        JsonNode answer = JSON.readTree(text);
        if (!answer.path("version").canConvertToLong() || !answer.path("vms").isArray()) {
            throw new IOException("VM list answer without a whole-number version or an array of VMs");
        }
        long version = answer.path("version").asLong();
        boolean full = answer.path("full").asBoolean();
        if (!full && version < current.version()) {
            throw new IOException("version of the VM list is " + version + ", expected at least " + current.version());
        }
        Map<String, Vm> vms = full ? new HashMap<>() : new HashMap<>(current.vms());
        for (JsonNode node : answer.path("vms")) {
            // What was listed before does not hold for a VM that cannot be read any more.
            vms.remove(node.path("id").asText());
            if (!GONE.equals(node.path("state").asText())) {
                parse(node).ifPresent(vm -> vms.put(vm.id(), vm));
            }
        }
        return new VmSnapshot(version, vms);
    }

    /** Returns the VM, or empty if the entry does not describe one; it must not keep the others from being followed. */
    private static Optional<Vm> parse(JsonNode node) {
        try {
            return Optional.of(parseVm(node));
        } catch (IOException | IllegalArgumentException e) {
            LOG.log(
                    Level.WARNING,
                    "VM {0} in the VM list is passed over: {1}",
                    shortened(node.path("id").toString()),
                    shortened(e.getMessage()));
            return Optional.empty();
        }
    }

    private static Vm parseVm(JsonNode node) throws IOException {
        HostAndPort address = HostAndPort.fromString(text(node, "address"));
        Preconditions.checkArgument(
                address.getPortOrDefault(0) > 0, "address is %s, expected a port from 1 to 65535", address);
        return new Vm(
                text(node, "id"),
                text(node, "role"),
                new InetSocketAddress(InetAddresses.forString(address.getHost()), address.getPort()),
                text(node, "failure_domain"),
                Vm.State.valueOf(text(node, "state").toUpperCase(Locale.ROOT)));
    }

    private static String text(JsonNode node, String field) throws IOException {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw new IOException(field + " is '" + value + "', expected a text");
        }
        return value.asText();
    }

    private static String shortened(String text) {
        return Ascii.truncate(text, MAX_LOGGED_CHARACTERS, "...");
    }
}
