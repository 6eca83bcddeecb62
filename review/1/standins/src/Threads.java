/** Starts daemon threads. */
final class Threads {
    /** An action that may throw. */
    interface Action {
        void run() throws Exception;
    }

    private Threads() {
    }

    static Thread start(String name, Action action) {
        Thread thread = new Thread(() -> {
            try {
                action.run();
            } catch (Exception problem) {
                System.err.println(name + ": " + problem);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
