package org.knapweedmount.core.dispatch;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.knapweedmount.api.message.QueueUpdate;
import org.knapweedmount.api.work.WorkQueue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class QueueTableTest {
    private static WorkQueue queue(String name, String prefix) {
        return new WorkQueue(name, "Shop.example", prefix, "service", 0, 3, 1.6, 60, 1_500, false);
    }

    private final QueueTable table = new QueueTable();

    private String find(String host, String path) {
        return table.find(host, path).map(WorkQueue::name).orElse("none");
    }

    @Test
    void longestPrefixWins() {
        table.apply(new QueueUpdate(3, List.of(queue("short", "/a/"), queue("long", "/a/b/"))));

        assertThat(find("shop.example", "/a/b/1"), is("long"));
        assertThat(find("SHOP.example", "/a/c"), is("short"));
        assertThat(find("shop.example", "/b/"), is("none"));
        assertThat(find("other.example", "/a/b/1"), is("none"));
    }

    @Test
    void olderVersionNeverReplacesNewerOne() {
        table.apply(new QueueUpdate(7, List.of(queue("new", "/a/"))));

        assertThat(table.apply(new QueueUpdate(5, List.of(queue("old", "/a/")))), is(false));
        assertThat(table.apply(new QueueUpdate(7, List.of(queue("same", "/a/")))), is(false));
        assertThat(find("shop.example", "/a/x"), is("new"));
        assertThat(table.version(), is(7L));
    }
}
