import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The names of the users' platform, which Java sources outside its adapter do not contain. */
final class Names {
    private static final Properties NAMES = read();

    private Names() {}

    static String of(String key) {
        return NAMES.getProperty(key);
    }

    private static Properties read() {
        Properties names = new Properties();
        try (InputStream in = Names.class.getResourceAsStream("/names.properties")) {
            names.load(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return names;
    }
}
