package org.knapweedmount.daemon.store;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.knapweedmount.api.Incarnation;
import org.knapweedmount.api.PeerAddress;
import org.knapweedmount.api.Role;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

@Timeout(60)
class EntryDirectoryTest {
    private static final PeerAddress SELF = address("entry-1");
    private static final PeerAddress OTHER = address("entry-2");

    private final Vertx vertx = Vertx.vertx();
    private final InMemoryTableService tables = new InMemoryTableService();
    private final BlockingQueue<KnownEntries> lists = new LinkedBlockingQueue<>();
    private int listed;

    private static PeerAddress address(String name) {
        return new PeerAddress(new Incarnation(name, 1), Role.ENTRY, "rennes", "127.0.0.1", 7101);
    }

    private void write(PeerAddress address) {
        tables.execute(Transaction.EMPTY.put(EntryRow.rowId(address.incarnation()), new EntryRow(address, 1).value()));
    }

    /** Lists the rows three times, with many heartbeats of the own entry between the first and second listing. */
    private KnownEntries thirdList(Runnable beforeDeletion) throws InterruptedException {
        write(SELF);
        write(OTHER);
        EntryDirectory directory =
                new EntryDirectory(vertx, tables, EntryRow.rowId(SELF.incarnation()), System::nanoTime, known -> {
                    listed++;
                    if (listed == 1) {
                        writeManyHeartbeats();
                    } else if (listed == 2) {
                        beforeDeletion.run();
                    }
                    lists.add(known);
                });
        vertx.runOnContext(ignored -> directory.start());
        lists.take();
        lists.take();
        return lists.take();
    }

    private void writeManyHeartbeats() {
        for (long i = 0; i < OutdatedRowDetector.OUTDATED_AFTER_HEARTBEATS; i++) {
            write(SELF);
        }
    }

    @AfterEach
    void close() {
        vertx.close().await();
    }

    @Test
    void outdatedRowIsDeleted() throws InterruptedException {
        assertThat(thirdList(() -> {}), is(new KnownEntries(List.of(SELF), List.of())));
    }

    @Test
    void rowThatChangesBeforeItIsDeletedStays() throws InterruptedException {
        assertThat(thirdList(() -> write(OTHER)), is(new KnownEntries(List.of(SELF, OTHER), List.of())));
    }
}
