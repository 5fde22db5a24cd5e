package org.knapweedmount.daemon.entry;

import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Vertx;
import org.knapweedmount.api.ParseException;
import org.knapweedmount.daemon.runtime.NanoClock;
import org.knapweedmount.daemon.runtime.ProcessStarter;
import org.knapweedmount.daemon.runtime.StartException;
import org.knapweedmount.daemon.settings.EntrySettings;

/** Starts entries from their settings. */
public final class EntryStarter implements ProcessStarter<EntrySettings> {
    private final Runnable exit;

    /** Creates a starter whose entries exit the JVM when an operator drains them. */
    public EntryStarter() {
        this(() -> System.exit(0));
    }

    /**
     * Creates a starter.
     *
     * @param exit starts the planned stop of the process when an operator drains the entry; runs on its own thread
     */
    public EntryStarter(Runnable exit) {
        this.exit = exit;
    }

    @Override
    public EntryProcess start(EntrySettings settings) throws StartException {
        Vertx vertx = Vertx.vertx();
        try {
            return new EntryBuilder(settings, vertx, NanoClock.SYSTEM, exit).build();
        } catch (ParseException e) {
            vertx.close();
            throw new StartException(e.getMessage(), e);
        } catch (ExecutionException e) {
            vertx.close();
            throw new StartException(
                    "the entry cannot be started: " + e.getCause().getMessage(), e.getCause());
        } catch (TimeoutException e) {
            vertx.close();
            throw new StartException(
                    "a step of the start of the entry took longer than " + EntryBuilder.START_TIMEOUT_SECONDS + " s",
                    e);
        } catch (InterruptedException e) {
            vertx.close();
            Thread.currentThread().interrupt();
            throw new StartException("the start of the entry was interrupted", e);
        }
    }
}
