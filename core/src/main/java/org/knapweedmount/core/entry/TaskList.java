package org.knapweedmount.core.entry;

/** A linked list of tasks from which any task can be removed in constant time. */
final class TaskList {
    private TaskRun first;
    private TaskRun last;

    boolean isEmpty() {
        return first == null;
    }

    /** Returns the first task, null if there is none; {@link TaskRun#next} links to the others. */
    TaskRun first() {
        return first;
    }

    void addFirst(TaskRun task) {
        task.previous = null;
        task.next = first;
        if (first == null) {
            last = task;
        } else {
            first.previous = task;
        }
        first = task;
    }

    void addLast(TaskRun task) {
        task.next = null;
        task.previous = last;
        if (last == null) {
            first = task;
        } else {
            last.next = task;
        }
        last = task;
    }

    void remove(TaskRun task) {
        if (task.previous == null) {
            first = task.next;
        } else {
            task.previous.next = task.next;
        }
        if (task.next == null) {
            last = task.previous;
        } else {
            task.next.previous = task.previous;
        }
        task.previous = null;
        task.next = null;
    }
}
