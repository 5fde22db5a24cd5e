import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The names of the platform's calls and fields, from {@code names.properties}. */
final class Names {
    static final String START_CALL;
    static final String STOP_CALL;
    static final String LIST_CALL;
    static final String TRANSACT_CALL;
    static final String READ_CALL;
    static final String FOLLOW_CALL;
    static final String ACKNOWLEDGED_FIELD;
    static final String FENCE_FIELD;
    /** Marks a job that is answered at its end and not stored. */
    static final String UNSTORED_FIELD;

    static {
        Properties names = new Properties();
        try (InputStream in = Names.class.getResourceAsStream("/names.properties")) {
            names.load(in);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        START_CALL = names.getProperty("startCall");
        STOP_CALL = names.getProperty("stopCall");
        LIST_CALL = names.getProperty("listCall");
        TRANSACT_CALL = names.getProperty("transactCall");
        READ_CALL = names.getProperty("readCall");
        FOLLOW_CALL = names.getProperty("followCall");
        ACKNOWLEDGED_FIELD = names.getProperty("acknowledgedField");
        FENCE_FIELD = names.getProperty("fenceField");
        UNSTORED_FIELD = names.getProperty("unstoredField");
    }

    private Names() {}
}
