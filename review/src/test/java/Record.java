import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The file record.txt: what was sent, answered and run, with the seconds since the start. */
final class Record {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f ", seconds(System.nanoTime())) + text);
    }

    /** Writes a line to the record and to the standard output. */
    synchronized void result(String text) {
        line(text);
        out.flush();
        System.out.println(text);
    }

    synchronized void flush() {
        out.flush();
    }

    double seconds(long nanos) {
        return (nanos - startNanos) / 1e9;
    }
}
