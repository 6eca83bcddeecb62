import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * One replica of four falls silent for about a second before the first event of a stream, and goes on. The replica is
 * one of those that do not drop a request when its connection closes. The request must not go on at another replica
 * while the first one still works on it.
 */
final class SilentReplica {
    private static final int REPLICAS = 4;
    private static final int EVENTS = 42;
    private static final int EVENT_MILLISECONDS = 20;
    private static final int SILENCE_MILLISECONDS = 1_000;
    private static final int OVERLAP_MILLISECONDS = 400;
    private static final int REQUESTS = 12;
    private static final int PAUSE_MILLISECONDS = 2_500;
    private static final int WARM_UP_REQUESTS = 100;
    private static final int DEADLINE_MILLISECONDS = 15_000;

    /** One run of a request at a replica; the end is 0 while it goes on. */
    private static final class Run {
        final int replica;
        final long begin = System.nanoTime();
        volatile long end = 0;

        Run(int replica) {
            this.replica = replica;
        }
    }

    private static final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private static volatile int silentReplica = -1;

    public static void main(String[] arguments) throws Exception {
        Deployment.run(arguments, SilentReplica::run);
    }

    private static boolean run(Deployment deployment) throws Exception {
        for (int number = 0; number < REPLICAS; number++) {
            int replica = number;
            ReplicaStandIn standIn = new ReplicaStandIn(deployment.address, 0,
                (head, in, out) -> stream(deployment, replica, head, in, out));
            deployment.register("i-recipe-" + number, "recipes", standIn.port());
        }
        deployment.configure(
            Deployment.route("recipe", "streaming", "recipes", DEADLINE_MILLISECONDS, 3,
                ",\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":1000").replace(
                "\"target_latency_ms\":2000", "\"target_latency_ms\":1000"),
            Deployment.service("recipes"));
        deployment.startRouter();
        List<Thread> threads = new ArrayList<>();
        for (int request = 0; request < WARM_UP_REQUESTS; request++) {
            String id = "usual-" + request;
            threads.add(Threads.start(id, () -> send(deployment, id)));
            Thread.sleep(50);
        }
        for (Thread thread : threads) thread.join();
        deployment.note(WARM_UP_REQUESTS + " usual requests are answered");
        if (deployment.trouble) silentReplica = 0;
        for (int request = 0; request < REQUESTS; request++) {
            String id = "recipe-" + request;
            deployment.note("the client gets " + send(deployment, id) + " for " + id);
            Thread.sleep(PAUSE_MILLISECONDS);
            if (!holds(deployment, id)) return false;
        }
        return true;
    }

    private static boolean holds(Deployment deployment, String id) {
        List<Run> all = runs.get(id);
        for (int next = 1; next < all.size(); next++) {
            Run before = all.get(next - 1);
            long overlap = (before.end - all.get(next).begin) / 1_000_000;
            deployment.note(id + " goes on at replica " + all.get(next).replica + "; replica " + before.replica
                + " works on it until " + overlap + " ms later");
            if (overlap > OVERLAP_MILLISECONDS) return false;
        }
        return true;
    }

    private static boolean stream(Deployment deployment, int replica, Http.Head head, InputStream in, OutputStream out)
        throws Exception {
        Http.readExactly(in, head.length());
        Run run = new Run(replica);
        runs.computeIfAbsent(head.header("X-Attempt-Id"), unused -> new ArrayList<>()).add(run);
        if (replica == silentReplica) {
            silentReplica = -1;
            deployment.note("replica " + replica + " begins " + head.header("X-Attempt-Id") + " and falls silent for "
                + SILENCE_MILLISECONDS + " ms");
            Thread.sleep(SILENCE_MILLISECONDS);
        }
        boolean connected = true;
        int first = head.header("Last-Event-Id") == null ? 1 : Integer.parseInt(head.header("Last-Event-Id")) + 1;
        try {
            out.write(Http.ascii(ReplicaStandIn.signedHead(head, "200 OK",
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")));
        } catch (IOException closed) {
            connected = false;
        }
        for (int event = first; event <= EVENTS; event++) {
            Thread.sleep(EVENT_MILLISECONDS);
            String text = "id: " + event + "\ndata: salt\n\n";
            try {
                if (connected) out.write(Http.ascii(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                out.flush();
            } catch (IOException closed) {
                connected = false;
            }
        }
        run.end = System.nanoTime();
        if (connected) out.write(Http.ascii("0\r\n\r\n"));
        return connected;
    }

    private static String send(Deployment deployment, String id) {
        try (Socket socket = deployment.connect(deployment.callerPort, DEADLINE_MILLISECONDS + 500)) {
            socket.getOutputStream().write(Http.ascii("POST /recipe/new HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: "
                + id + "\r\nX-Deadline-Ms: " + DEADLINE_MILLISECONDS
                + "\r\nX-Model: m0\r\nX-Token-Count: 11992,385\r\nX-Prompt-Prefix: 5c1e07a2:100,91bd3f06:11892\r\n"
                + "Authorization: Bearer key-of-bakery\r\nContent-Length: 5\r\n\r\nhello"));
            Http.Response answer =
                Http.readResponse(new BufferedInputStream(socket.getInputStream()), "POST");
            return answer.status() + " with " + answer.text().split("\n\n").length + " events";
        } catch (IOException problem) {
            return problem.toString();
        }
    }
}
