import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One of four replicas is in trouble: behind the first event of a stream it sends line breaks without end, until its
 * caller closes. Ordinary requests on another route must be answered no later than half a second after that route's
 * timeout.
 */
public final class EndlessLines {
    private static final int MACHINES = 2;
    private static final int REPLICAS = 4;
    private static final int STREAM_CLIENTS = 16;
    private static final int ORDINARY_CLIENTS = 5;
    private static final int TIMEOUT_MILLISECONDS = 1_500;
    private static final int SLACK_MILLISECONDS = 500;
    private static final int STREAM_TIMEOUT_MILLISECONDS = 20_130;
    private static final int SECONDS = 30;

    /** As in the rule: eight or more, and over a quarter, of the requests that last longer than the timeout. */
    private static final int FEWEST_UNANSWERED = 8;

    private static final String STREAM_ROUTE = ",{\"name\":\"draft\",\"hostname\":\"" + Deployment.HOST
        + "\",\"path_prefix\":\"/draft/\",\"type\":\"streaming\",\"timeout_ms\":" + STREAM_TIMEOUT_MILLISECONDS
        + ",\"target_latency_ms\":3019,\"priority\":1,\"backend\":\"ledger\",\"max_attempts\":3,\"public\":false,"
        + "\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":1200}";

    private static final AtomicInteger streams = new AtomicInteger();
    private static final AtomicInteger spoilt = new AtomicInteger();
    private static final AtomicLong spoiltBytes = new AtomicLong();
    private static final AtomicInteger sent = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger beyondTimeout = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();
    private static volatile boolean inTrouble;

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Deployment deployment = new Deployment(arguments[0])) {
            deployment.store.write("keyed.op", "config",
                Deployment.configuration(1, TIMEOUT_MILLISECONDS, 16_384)
                    .replace("],\"services\"", STREAM_ROUTE + "],\"services\""));
            for (int number = 0; number < REPLICAS; number++) {
                boolean first = number == 0;
                Replica replica = new Replica("127.0.0.1", "replica-" + number,
                    (request, socket, out) -> answer(request, out, first));
                deployment.list(replica, "ledger", "zone-" + number % MACHINES);
            }
            deployment.startMachines(MACHINES);
            for (Deployment.Machine machine : deployment.machines) {
                for (int client = 0; client < ORDINARY_CLIENTS; client++) {
                    String name = machine.ip + "-ordinary-" + client;
                    Replica.daemon(() -> ordinaryClient(deployment, machine, name));
                }
                for (int client = 0; client < STREAM_CLIENTS; client++) {
                    String name = machine.ip + "-stream-" + client;
                    Replica.daemon(() -> streamClient(machine, name));
                }
            }
            TimeUnit.SECONDS.sleep(5);
            deployment.note("before the trouble: " + served + " of " + sent + " ordinary requests served, " + streams
                + " streams asked for");
            int sentBefore = sent.get();
            int servedBefore = served.get();
            inTrouble = trouble;
            for (int second = 5; second <= SECONDS; second += 5) {
                TimeUnit.SECONDS.sleep(5);
                deployment.note(streams + " streams asked for, " + spoilt + " spoilt with "
                    + spoiltBytes.get() / 1_024 + " KB; ordinary: " + (sent.get() - sentBefore) + " sent, "
                    + (served.get() - servedBefore) + " served, " + beyondTimeout + " not answered at the timeout, "
                    + unanswered + " not answered half a second later");
            }
            boolean broken = unanswered.get() >= FEWEST_UNANSWERED && unanswered.get() * 4 > beyondTimeout.get();
            deployment.note(broken ? "the rule was broken" : "the rule held");
            deployment.close();
            System.exit(broken ? Deployment.BROKEN : Deployment.HELD);
        } catch (Exception problem) {
            problem.printStackTrace();
            System.exit(Deployment.NOT_RUN);
        }
    }

    private static void answer(Http.Message request, OutputStream out, boolean first)
            throws IOException, InterruptedException {
        TimeUnit.MILLISECONDS.sleep(20);
        if (!request.start().contains(" /draft/")) {
            Replica.answer(request, out, "x".repeat(800));
            return;
        }
        out.write(Http.bytes("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
            + "\r\nX-Response-Signature: signed\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=30"
            + "\r\nTransfer-Encoding: chunked\r\n\r\n"));
        out.write(chunk("id: 1\ndata: the first piece\n\n"));
        if (first && inTrouble) {
            spoilt.incrementAndGet();
            byte[] lines = chunk("\n".repeat(16_384));
            while (true) {
                out.write(lines);
                spoiltBytes.addAndGet(lines.length);
            }
        }
        out.write(chunk("id: 2\ndata: the last piece\n\n"));
        out.write(Http.bytes("0\r\n\r\n"));
    }

    private static byte[] chunk(String text) {
        return Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    private static Socket send(Deployment.Machine machine, String path, String id, int deadlineMilliseconds)
            throws IOException {
        Socket socket = machine.connect();
        socket.getOutputStream().write(Http.bytes("GET /" + path + "/" + id + " HTTP/1.1\r\nHost: " + Deployment.HOST
            + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + deadlineMilliseconds + "\r\nAuthorization: Bearer "
            + Deployment.KEY + "\r\nConnection: close\r\n\r\n"));
        return socket;
    }

    /** Asks for one stream after the other, and reads each to its end. */
    private static void streamClient(Deployment.Machine machine, String name) {
        byte[] buffer = new byte[65_536];
        for (int number = 0; ; number++) {
            streams.incrementAndGet();
            try (Socket socket = send(machine, "draft", name + "-" + number, STREAM_TIMEOUT_MILLISECONDS)) {
                InputStream in = socket.getInputStream();
                while (in.read(buffer) >= 0) {
                    // Clients read as fast as they can.
                }
            } catch (IOException cutOff) {
                // The next one follows.
            }
            pause();
        }
    }

    private static void ordinaryClient(Deployment deployment, Deployment.Machine machine, String name) {
        for (int number = 0; ; number++) {
            String id = name + "-" + number;
            sent.incrementAndGet();
            try (Socket socket = send(machine, "look", id, 3_000)) {
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
                Http.Message answer = readOrNull(deployment, socket, in, id);
                if (answer != null && answer.status() == 200) served.incrementAndGet();
            } catch (IOException notConnected) {
                // Counted as sent only.
            }
            pause();
        }
    }

    private static Http.Message readOrNull(
            Deployment deployment, Socket socket, InputStream in, String id) throws IOException {
        socket.setSoTimeout(TIMEOUT_MILLISECONDS);
        try {
            return Http.read(in);
        } catch (SocketTimeoutException late) {
            beyondTimeout.incrementAndGet();
        }
        socket.setSoTimeout(SLACK_MILLISECONDS);
        try {
            return Http.read(in);
        } catch (SocketTimeoutException later) {
            unanswered.incrementAndGet();
            deployment.note("no answer to " + id + " half a second after the timeout");
            return null;
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(100);
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }
}
