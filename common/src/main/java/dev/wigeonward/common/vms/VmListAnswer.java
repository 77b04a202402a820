package dev.wigeonward.common.vms;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;

/**
 * Parser for answers of the VM list, which have the fields {@code version}, {@code full} and {@code vms}. A full answer
 * replaces the list. Any other answer holds the VMs that changed since the requested version, with removed VMs in state
 * {@code gone}.
 */
final class VmListAnswer {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String GONE = "gone";

    private VmListAnswer() {}

    /**
     * Returns the list that results from applying an answer to the current list.
     *
     * @throws IOException if the answer is malformed
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
            if (GONE.equals(node.path("state").asText())) {
                vms.remove(node.path("id").asText());
            } else {
                Vm vm = parseVm(node);
                vms.put(vm.id(), vm);
            }
        }
        return new VmSnapshot(version, vms);
    }

    private static Vm parseVm(JsonNode node) throws IOException {
        try {
            HostAndPort address = HostAndPort.fromString(node.path("address").asText());
            return new Vm(
                    node.path("id").asText(),
                    node.path("role").asText(),
                    new InetSocketAddress(InetAddresses.forString(address.getHost()), address.getPort()),
                    node.path("failure_domain").asText(),
                    Vm.State.valueOf(node.path("state").asText().toUpperCase(Locale.ROOT)));
        } catch (IllegalArgumentException | IllegalStateException e) {
            throw new IOException("malformed VM in the VM list: " + node, e);
        }
    }
}
