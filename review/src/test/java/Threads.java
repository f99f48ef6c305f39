import java.io.IOException;

/** Starts threads that end with the process. */
final class Threads {
    private Threads() {}

    interface Task {
        void run() throws Exception;
    }

    static Thread start(Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        // The connection ended; the peer sees that.
                    } catch (Exception e) {
                        e.printStackTrace();
                    }
                },
                "stand-in",
                256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
