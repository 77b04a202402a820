package dev.wigeonward.entry.control;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import dev.wigeonward.common.vms.Vm;
import dev.wigeonward.common.vms.VmSnapshot;
import dev.wigeonward.core.dispatch.EntryEvent;
import dev.wigeonward.core.membership.UpstreamMembership;
import dev.wigeonward.wire.generated.Frame;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class MembershipHandlerTest {
    private final Map<String, HostAndPort> connected = new TreeMap<>();
    private final MembershipHandler membership =
            new MembershipHandler(UpstreamMembership.create("e", new Random(1)), new RecordingLinks());

    private static Vm vm(String id, String role, String host) {
        return new Vm(id, role, new InetSocketAddress(InetAddresses.forString(host), 7_000), "fd1", Vm.State.LIVE);
    }

    private void list(Vm... vms) {
        Map<String, Vm> byId = List.of(vms).stream().collect(Collectors.toMap(Vm::id, Function.identity()));
        membership.onVmsListed(new VmSnapshot(1, byId), 0);
    }

    /** Guards against one VM with an IPv6 address that keeps the links to the others from being opened. */
    @Test
    void agentsOfBothAddressFamiliesAreConnected() {
        list(
                vm("e", "entry", "127.0.0.1"),
                vm("a", "model", "127.0.0.2"),
                vm("b", "model", "::1"),
                vm("c", "model", "127.0.0.3"));
        for (long nowMillis = 0; nowMillis <= 1_000; nowMillis += 100) {
            membership.onTick(nowMillis);
        }

        assertThat(connected).containsOnlyKeys("a", "b", "c");
        assertThat(connected.get("b").getPort()).isEqualTo(7_000);
        assertThat(InetAddresses.forString(connected.get("b").getHost())).isEqualTo(InetAddresses.forString("::1"));
    }

    /** Reads addresses as the links do. */
    private final class RecordingLinks implements ControlPlaneLinks {
        @Override
        public void connect(String upstreamId, String address) {
            HostAndPort hostAndPort = HostAndPort.fromString(address);
            assertThat(hostAndPort.hasPort()).as("port in " + address).isTrue();
            connected.put(upstreamId, hostAndPort);
        }

        @Override
        public void disconnect(String upstreamId) {}

        @Override
        public void disconnectWhenIdle(String upstreamId) {}

        @Override
        public void dispatch(EntryEvent event) {}

        @Override
        public void send(String peer, Frame frame) {}

        @Override
        public void sendToOthers(String exceptPeer, Frame frame) {}
    }
}
