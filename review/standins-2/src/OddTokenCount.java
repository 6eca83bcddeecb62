import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * While more streams are asked for than a router may send at once, a client that nobody controls sends a few requests
 * with an odd header line: a negative count of prompt tokens. Without the disruption the count is positive. The other
 * requests must be answered no later than half a second after their route's timeout, and a change of the configuration
 * must be in force in time.
 */
public final class OddTokenCount {
    private static final int MACHINES = 2;
    private static final int STREAMS = 120;
    private static final int ODD_REQUESTS = 3;
    private static final int SLOTS = 64;
    private static final int MAXIMUM_CONNECTIONS = 100;
    private static final int EVENTS = 4;
    private static final int EVENT_MILLISECONDS = 250;
    private static final int TIMEOUT_MILLISECONDS = 5_024;
    private static final int SLACK_MILLISECONDS = 500;
    private static final int CONFIG_APPLY_MILLISECONDS = 2_000;

    /** As in the rule: eight or more, and over a quarter, of the requests that last longer than the timeout. */
    private static final int FEWEST_UNANSWERED = 8;

    private static final AtomicInteger sent = new AtomicInteger();
    private static final AtomicInteger served = new AtomicInteger();
    private static final AtomicInteger refused = new AtomicInteger();
    private static final AtomicInteger beyondTimeout = new AtomicInteger();
    private static final AtomicInteger unanswered = new AtomicInteger();
    private static final AtomicInteger newRouteSent = new AtomicInteger();
    private static final AtomicInteger newRouteServed = new AtomicInteger();
    private static final AtomicInteger newRouteUnknown = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (Deployment deployment = new Deployment(arguments[0])) {
            deployment.store.write("keyed.op", "config", configuration(1));
            for (int number = 0; number < 2; number++) {
                Replica model = new Replica("127.0.0.1", "model-" + number, new Model());
                deployment.list(model, "drafting", "zone-" + number);
                Replica plain = new Replica("127.0.0.1", "plain-" + number, Replica.sound(20, 800));
                deployment.list(plain, "registry", "zone-" + number);
            }
            deployment.startMachines(MACHINES);
            for (Deployment.Machine machine : deployment.machines) {
                for (int number = 0; number < 5; number++) stream(deployment, machine, "first-" + number);
            }
            deployment.note("before the burst: " + served + " of " + sent + " streams served");
            for (Deployment.Machine machine : deployment.machines) {
                for (int number = 0; number < STREAMS; number++) {
                    String id = "stream-" + machine.ip + "-" + number;
                    Replica.daemon(() -> stream(deployment, machine, id));
                }
            }
            for (int number = 0; number < ODD_REQUESTS; number++) {
                TimeUnit.MILLISECONDS.sleep(200);
                for (Deployment.Machine machine : deployment.machines) {
                    String id = "odd-" + machine.ip + "-" + number;
                    Replica.daemon(() -> odd(deployment, machine, id, trouble ? "-1000000,20" : "1800,20"));
                }
            }
            TimeUnit.MILLISECONDS.sleep(1_400);
            deployment.store.write("keyed.op", "config", configuration(2));
            deployment.note("the store has acknowledged a configuration with one route more");
            TimeUnit.MILLISECONDS.sleep(CONFIG_APPLY_MILLISECONDS + 100);
            for (int round = 0; round < 10; round++) {
                for (Deployment.Machine machine : deployment.machines) newRoute(machine, round);
                TimeUnit.MILLISECONDS.sleep(500);
            }
            deployment.note(newRouteSent + " requests on the new route, " + newRouteServed + " served, "
                + newRouteUnknown + " answered 404");
            TimeUnit.SECONDS.sleep(2);
            deployment.note(sent + " streams asked for, " + served + " served, " + refused + " refused, "
                + beyondTimeout + " not answered at the timeout, " + unanswered + " not answered half a second later");
            boolean late = unanswered.get() >= FEWEST_UNANSWERED && unanswered.get() * 4 > beyondTimeout.get();
            boolean broken = late || newRouteUnknown.get() > 0;
            deployment.note(broken ? "the rule was broken" : "the rule held");
            deployment.close();
            System.exit(broken ? Deployment.BROKEN : Deployment.HELD);
        } catch (Exception problem) {
            problem.printStackTrace();
            System.exit(Deployment.NOT_RUN);
        }
    }

    /** A sound model replica: it makes the events of as many streams at once as it has slots; others wait. */
    private static final class Model implements Replica.Handler {
        private final Semaphore slots = new Semaphore(SLOTS);
        private final AtomicInteger requests = new AtomicInteger();

        @Override
        public void handle(Http.Message request, Socket socket, OutputStream out)
                throws IOException, InterruptedException {
            requests.incrementAndGet();
            slots.acquire();
            try {
                TimeUnit.MILLISECONDS.sleep(20);
                int running = SLOTS - slots.availablePermits();
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
                    + "\r\nX-Response-Signature: signed\r\nKeep-Alive: timeout=30\r\nContent-Type: text/event-stream"
                    + "\r\nX-Server-Load: " + running + "," + Math.max(0, requests.get() - running) + "," + SLOTS
                    + ",100\r\nTransfer-Encoding: chunked\r\n\r\n"));
                for (int event = 1; event <= EVENTS; event++) {
                    String text = "id: " + event + "\ndata: piece " + event + "\n\n";
                    out.write(Http.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                    out.flush();
                    TimeUnit.MILLISECONDS.sleep(EVENT_MILLISECONDS);
                }
                out.write(Http.bytes("0\r\n\r\n"));
            } finally {
                slots.release();
                requests.decrementAndGet();
            }
        }
    }

    private static String configuration(int version) {
        String stream = "{\"name\":\"%s\",\"hostname\":\"" + Deployment.HOST + "\",\"path_prefix\":\"/%s/\","
            + "\"type\":\"streaming\",\"timeout_ms\":%d,\"target_latency_ms\":2000,\"priority\":%d,"
            + "\"backend\":\"drafting\",\"max_attempts\":3,\"public\":false,\"sticky\":true,\"resumable\":true,"
            + "\"gap_aim_ms\":2000}";
        String plain = "{\"name\":\"%s\",\"hostname\":\"" + Deployment.HOST + "\",\"path_prefix\":\"/%s/\","
            + "\"type\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":400,\"priority\":2,"
            + "\"backend\":\"registry\",\"max_attempts\":2,\"public\":false}";
        String service = "{\"name\":\"%s\",\"health_path\":\"/healthz\",\"max_conns\":" + MAXIMUM_CONNECTIONS
            + ",\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
        return "{\"version\":" + version + ",\"routes\":[" + String.format(stream, "tag", "tag", TIMEOUT_MILLISECONDS, 2)
            + "," + String.format(stream, "draft", "draft", 20_130, 1) + "," + String.format(plain, "look", "look")
            + (version > 1 ? "," + String.format(plain, "added", "added") : "") + "],\"services\":["
            + String.format(service, "drafting") + "," + String.format(service, "registry")
            + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule\",\"api_keys\":[\"" + Deployment.KEY
            + "\"],\"priority\":1}]}";
    }

    private static String request(String path, String id, String tokens, int deadlineMilliseconds) {
        return "GET /" + path + "/" + id + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: " + deadlineMilliseconds + "\r\nAuthorization: Bearer " + Deployment.KEY
            + (tokens == null ? "" : "\r\nX-Model: small\r\nX-Token-Count: " + tokens) + "\r\n\r\n";
    }

    private static void stream(Deployment deployment, Deployment.Machine machine, String id) {
        sent.incrementAndGet();
        try (Socket socket = machine.connect()) {
            socket.getOutputStream().write(Http.bytes(request("tag", id, "1800,20", TIMEOUT_MILLISECONDS)));
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            if (!answerBegins(deployment, socket, in, id)) return;
            socket.setSoTimeout(10_000);
            Http.Message answer = Http.read(in);
            if (answer == null) return;
            (answer.status() == 200 ? served : refused).incrementAndGet();
        } catch (IOException cutOff) {
            deployment.note(id + ": " + cutOff);
        }
    }

    private static boolean answerBegins(
            Deployment deployment, Socket socket, BufferedInputStream in, String id) throws IOException {
        in.mark(1);
        socket.setSoTimeout(TIMEOUT_MILLISECONDS);
        try {
            in.read();
        } catch (SocketTimeoutException late) {
            beyondTimeout.incrementAndGet();
            socket.setSoTimeout(SLACK_MILLISECONDS);
            try {
                in.read();
            } catch (SocketTimeoutException later) {
                unanswered.incrementAndGet();
                deployment.note("no answer to " + id + " half a second after the timeout");
                return false;
            }
        }
        in.reset();
        return true;
    }

    private static void odd(Deployment deployment, Deployment.Machine machine, String id, String tokens) {
        long sentAt = System.nanoTime();
        try (Socket socket = machine.connect()) {
            socket.setSoTimeout(25_000);
            socket.getOutputStream().write(Http.bytes(request("draft", id, tokens, 20_130)));
            deployment.note("sent " + id + " with X-Token-Count: " + tokens);
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) return;
            deployment.note(id + " was answered " + answer.status() + " after "
                + (System.nanoTime() - sentAt) / 1_000_000 + " ms");
        } catch (IOException endOfTheCase) {
            // It was not answered.
        }
    }

    private static void newRoute(Deployment.Machine machine, int round) {
        newRouteSent.incrementAndGet();
        try (Socket socket = machine.connect()) {
            socket.setSoTimeout(2_000);
            String id = "added-" + machine.ip + "-" + round;
            socket.getOutputStream().write(Http.bytes(request("added", id, null, 1_500)));
            Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            if (answer != null && answer.status() == 200) newRouteServed.incrementAndGet();
            if (answer != null && answer.status() == 404) newRouteUnknown.incrementAndGet();
        } catch (IOException notServed) {
            // Counted as sent only.
        }
    }
}
