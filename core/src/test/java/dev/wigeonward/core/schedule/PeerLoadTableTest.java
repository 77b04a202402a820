package dev.wigeonward.core.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import dev.wigeonward.core.schedule.ServiceScheduler.EntryLoad;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PeerLoadTableTest {
    private static final int PEERS = 33;
    private static final int UPSTREAMS = 43;
    private static final int REPORTS = 20_000;

    /**
     * Guards against totals that drift from the sum of the last reports: replaced, partial, repeated and withdrawn
     * reports of many peers in random order.
     */
    @Test
    void totalsEqualTheSumOfTheLastReports() {
        Random random = new Random(7);
        PeerLoadTable table = PeerLoadTable.create();
        Map<String, Map<String, EntryLoad>> model = new HashMap<>();
        Map<String, EntryLoad> announced = new HashMap<>();
        for (int report = 0; report < REPORTS; report++) {
            String peer = "p" + random.nextInt(PEERS);
            List<EntryLoad> loads = randomLoads(random);
            List<EntryLoad> changed;
            if (random.nextInt(50) == 0) {
                model.remove(peer);
                changed = table.remove(peer);
            } else if (random.nextInt(5) == 0) {
                model.put(peer, byUpstream(loads));
                changed = table.replace(peer, loads);
            } else {
                model.computeIfAbsent(peer, name -> new HashMap<>()).putAll(byUpstream(loads));
                changed = table.update(peer, loads);
            }
            changed.forEach(total -> announced.put(total.upstreamId(), total));
            assertThat(changed.size()).isLessThanOrEqualTo(UPSTREAMS);
        }
        for (int upstream = 0; upstream < UPSTREAMS; upstream++) {
            String id = "u" + upstream;
            EntryLoad expected = sum(model, id);
            assertThat(table.total(id)).isEqualTo(expected);
            assertThat(announced.getOrDefault(id, EntryLoad.none(id))).isEqualTo(expected);
        }
    }

    private static List<EntryLoad> randomLoads(Random random) {
        List<EntryLoad> loads = new ArrayList<>();
        for (int load = 0; load < random.nextInt(4); load++) {
            loads.add(new EntryLoad("u" + random.nextInt(UPSTREAMS), random.nextInt(3), random.nextInt(3) * 1_000L));
        }
        return loads;
    }

    private static Map<String, EntryLoad> byUpstream(List<EntryLoad> loads) {
        Map<String, EntryLoad> byUpstream = new HashMap<>();
        loads.forEach(load -> byUpstream.put(load.upstreamId(), load));
        return byUpstream;
    }

    private static EntryLoad sum(Map<String, Map<String, EntryLoad>> model, String id) {
        int requests = 0;
        long tokens = 0;
        for (Map<String, EntryLoad> loads : model.values()) {
            EntryLoad load = loads.getOrDefault(id, EntryLoad.none(id));
            requests += load.requests();
            tokens += load.promptTokens();
        }
        return new EntryLoad(id, requests, tokens);
    }

    /** Guards against a report whose cost grows with the number of peers: only what differs may be returned. */
    @Test
    void onlyChangedTotalsAreReturned() {
        PeerLoadTable table = PeerLoadTable.create();
        for (int peer = 0; peer < PEERS; peer++) {
            table.replace("p" + peer, List.of(new EntryLoad("a", 1, 10), new EntryLoad("b", 2, 0)));
        }

        assertThat(table.update("p0", List.of(new EntryLoad("a", 2, 10), new EntryLoad("b", 2, 0))))
                .containsExactly(new EntryLoad("a", PEERS + 1, 10L * PEERS));
        assertThat(table.replace("p0", List.of(new EntryLoad("a", 2, 10))))
                .containsExactly(new EntryLoad("b", 2 * (PEERS - 1), 0));
    }
}
