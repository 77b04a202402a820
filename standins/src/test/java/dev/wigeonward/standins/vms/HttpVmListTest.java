package dev.wigeonward.standins.vms;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import dev.wigeonward.common.clock.PausedClock;
import dev.wigeonward.common.vms.HttpVmList;
import dev.wigeonward.common.vms.Vm;
import dev.wigeonward.common.vms.VmListOptions;
import dev.wigeonward.common.vms.VmSnapshot;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static dev.wigeonward.standins.Awaiting.awaitUntil;
import static org.assertj.core.api.Assertions.assertThat;

class HttpVmListTest {
    private final PausedClock clock = PausedClock.at(1_000);
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
    private VmsStandin standin = VmsStandin.start(new InetSocketAddress("127.0.0.1", 0), clock);
    private final HttpVmList list =
            HttpVmList.start(new VmListOptions(standin.address(), 10, 1_000), thread, new Random(1));

    @AfterEach
    void close() {
        list.close();
        standin.close();
        thread.shutdownNow();
    }

    private static VmRecord live(String id) {
        return new VmRecord(id, "agent", "127.0.0.1:7000", "fd1", "live");
    }

    /** Guards against changes that polls miss, and against VMs that remain in the list after their removal. */
    @Test
    void followsRegistrationLeavingAndRemoval() {
        List<VmSnapshot> reported = new CopyOnWriteArrayList<>();
        list.subscribe(reported::add);
        standin.put(live("a"));
        standin.put(live("b"));
        awaitUntil("two VMs", () -> list.snapshot().vms().size() == 2);
        assertThat(list.snapshot().vms().get("a"))
                .isEqualTo(new Vm("a", "agent", new InetSocketAddress("127.0.0.1", 7000), "fd1", Vm.State.LIVE));

        standin.markLeaving("a");
        awaitUntil("leaving", () -> list.snapshot().vms().get("a").state() == Vm.State.LEAVING);
        standin.remove("a");
        awaitUntil("removal", () -> list.snapshot().vms().keySet().equals(Set.of("b")));
        awaitUntil("the report", () -> reported.contains(list.snapshot()));
    }

    /** Guards against a stand-in that ignores its lag, so that tests with a lagging list would check nothing. */
    @Test
    void changesBecomeVisibleAfterTheLag() {
        standin.setLag(5_000);
        standin.put(live("a"));
        clock.advanceMillis(4_999);
        long polls = standin.pollCount();
        awaitUntil("two more polls", () -> standin.pollCount() >= polls + 2);
        assertThat(list.snapshot().vms()).isEmpty();

        clock.advanceMillis(1);
        awaitUntil("the VM", () -> list.snapshot().vms().containsKey("a"));
    }

    /** Guards against a list that is cleared during an outage, or keeps VMs that a restarted service does not list. */
    @Test
    void keepsTheListInAnOutageAndFollowsARestart() {
        standin.put(live("a"));
        awaitUntil("the VM", () -> list.snapshot().vms().containsKey("a"));
        standin.close();
        assertThat(list.snapshot().vms()).containsKey("a");

        clock.advanceMillis(1_000_000);
        standin = VmsStandin.start(standin.address(), clock);
        standin.put(live("b"));
        awaitUntil("the new list", () -> list.snapshot().vms().keySet().equals(Set.of("b")));
    }

    /** Guards against a VM of another writer that cannot be read and keeps the others from being followed. */
    @Test
    void vmsBesideUnreadableOneAreFollowed() {
        VmRecord unreadable = new VmRecord("a&+# %", "agent", "host.example:7000", "fd1", "live");
        standin.put(unreadable);
        standin.put(live("a"));
        awaitUntil("the VM in the whole list", () -> list.snapshot().vms().containsKey("a"));
        standin.put(unreadable);
        standin.put(live("b"));
        standin.markLeaving("a");

        awaitUntil("the changes", () -> list.snapshot().vms().keySet().equals(Set.of("a", "b")));
        assertThat(list.snapshot().vms().get("a").state()).isEqualTo(Vm.State.LEAVING);
    }

    /** Guards against a list that is no longer polled because a listener has failed. */
    @Test
    void listIsPolledAfterListenerHasFailed() {
        List<VmSnapshot> reported = new CopyOnWriteArrayList<>();
        list.subscribe(snapshot -> {
            throw new IllegalStateException("listener fails as the test requires");
        });
        list.subscribe(reported::add);
        standin.put(live("a"));
        awaitUntil("the first list", () -> list.snapshot().vms().containsKey("a"));
        standin.put(live("b"));

        awaitUntil("the second list", () -> list.snapshot().vms().containsKey("b"));
        awaitUntil("the report", () -> reported.contains(list.snapshot()));
    }
}
