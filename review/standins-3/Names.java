import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The names of the users' platform that the stand-ins speak. */
final class Names {
    private static final Properties NAMES = load();

    static final String STORE_READ = get("store.read");
    static final String STORE_FOLLOW = get("store.follow");
    static final String STORE_WRITE = get("store.write");
    static final String WORKER_START = get("worker.start");
    static final String WORKER_STOP = get("worker.stop");
    static final String WORKER_LIST = get("worker.list");
    static final String ACKNOWLEDGED = get("field.acknowledged");
    static final String TOKEN = get("field.token");
    static final String NOT_STORED = get("field.notStored");
    static final String WARM_UP = get("field.warmUp");

    private Names() {}

    private static String get(String key) {
        return NAMES.getProperty(key);
    }

    private static Properties load() {
        Properties names = new Properties();
        try (InputStream in = Names.class.getResourceAsStream("names.properties")) {
            names.load(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return names;
    }
}
