package dev.wigeonward.entry.control;

import java.util.List;
import java.util.Set;

import dev.wigeonward.common.vms.Vm;
import dev.wigeonward.common.vms.VmSnapshot;
import dev.wigeonward.core.revision.ReaderElection;

/** Decides whether this entry reads the store for its failure domain. */
final class ReaderDuty {
    private final String entryId;
    private final HeadWatch watch;
    private boolean reader;

    /** Returns a duty that reads until a VM list says that others do. */
    ReaderDuty(String entryId, HeadWatch watch) {
        this.entryId = entryId;
        this.watch = watch;
        this.reader = true;
    }

    void start() {
        watch.setActive(true);
    }

    void onVmsListed(VmSnapshot snapshot) {
        List<ReaderElection.LiveEntry> live = snapshot.vms().values().stream()
                .filter(vm -> vm.role().equals("entry") && vm.state() == Vm.State.LIVE)
                .map(vm -> new ReaderElection.LiveEntry(vm.id(), vm.failureDomain()))
                .toList();
        Set<String> readers = ReaderElection.readers(live);
        // An entry that the lagging list does not have yet cannot know whether others read.
        boolean listed = live.stream().anyMatch(entry -> entry.id().equals(entryId));
        reader = !listed || readers.contains(entryId);
        watch.setActive(reader);
    }

    boolean isReader() {
        return reader;
    }
}
