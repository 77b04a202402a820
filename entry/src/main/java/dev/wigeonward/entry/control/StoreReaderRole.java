package dev.wigeonward.entry.control;

import java.util.List;
import java.util.Set;

import dev.wigeonward.common.vms.Vm;
import dev.wigeonward.common.vms.VmSnapshot;
import dev.wigeonward.core.revision.ReaderElection;

/** Determines whether this entry is a reader of the store for its failure domain, and runs the watch if it is. */
final class StoreReaderRole {
    private final String entryId;
    private final RevisionWatch watch;
    private boolean reader;

    /** Creates a role that reads until a VM list shows that other entries do. */
    StoreReaderRole(String entryId, RevisionWatch watch) {
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
        Set<String> readers = ReaderElection.electReaders(live);
        // The VM list lags. An entry that is not listed yet cannot tell whether others read, so it keeps reading.
        boolean listed = live.stream().anyMatch(entry -> entry.id().equals(entryId));
        reader = !listed || readers.contains(entryId);
        watch.setActive(reader);
    }

    boolean isReader() {
        return reader;
    }
}
