package org.knapweedmount.core.entry;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

import org.knapweedmount.api.JobSpec;
import org.knapweedmount.api.Resources;
import org.knapweedmount.api.TaskSpec;

/** The SHA-256 digest of a job, which detects a resubmission with a different job after the job was discarded. */
final class JobDigest {
    private static final int INTS_PER_TASK = 4;

    private final byte[] bytes;

    private JobDigest(byte[] bytes) {
        this.bytes = bytes;
    }

    static JobDigest of(JobSpec job) {
        MessageDigest digest = sha256();
        add(digest, job.team().getBytes(StandardCharsets.UTF_8));
        digest.update((byte) (job.atMostOnce() ? 1 : 0));
        for (TaskSpec task : job.tasks()) {
            add(digest, task);
        }
        return new JobDigest(digest.digest());
    }

    private static void add(MessageDigest digest, TaskSpec task) {
        add(digest, task.kind().getBytes(StandardCharsets.UTF_8));
        add(digest, task.method().getBytes(StandardCharsets.UTF_8));
        add(digest, task.path().getBytes(StandardCharsets.UTF_8));
        add(digest, task.contentType().getBytes(StandardCharsets.UTF_8));
        add(digest, task.body().bytes());
        Resources resources = task.resources();
        digest.update(ByteBuffer.allocate(INTS_PER_TASK * Integer.BYTES)
                .putInt(task.declaredMillis())
                .putInt(resources.milliCores())
                .putInt(resources.memoryMegabytes())
                .putInt(resources.accelerators())
                .flip());
    }

    private static void add(MessageDigest digest, byte[] field) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(field.length).flip());
        digest.update(field);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing, which every Java platform must provide", e);
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof JobDigest that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }
}
