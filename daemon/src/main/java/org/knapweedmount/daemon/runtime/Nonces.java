package org.knapweedmount.daemon.runtime;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;

import org.tinylog.Logger;

/**
 * Draws numbers that no other process draws, which name the starts of processes.
 *
 * <p>They come from the operating system; to set up a provider of secure random numbers costs a process 30 ms at its start.
 */
public final class Nonces {
    private static final Path DEVICE = Path.of("/dev/urandom");

    private Nonces() {}

    /**
     * Draws a number.
     *
     * @return a number that is random in all of its bits
     */
    public static long next() {
        try (InputStream device = Files.newInputStream(DEVICE)) {
            byte[] bytes = device.readNBytes(Long.BYTES);
            if (bytes.length == Long.BYTES) {
                return ByteBuffer.wrap(bytes).getLong();
            }
            Logger.warn("{} gave {} bytes instead of {}", DEVICE, bytes.length, Long.BYTES);
        } catch (IOException e) {
            Logger.warn("{} cannot be read, a provider of random numbers is used: {}", DEVICE, e.getMessage());
        }
        return new SecureRandom().nextLong();
    }
}
