import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One tenant sends many times its usual for some seconds: plans with large bodies, within the limit of the configuration.
 * Afterwards small requests must be answered.
 */
final class LargeBodies {
    private static final int USUAL_CLIENTS = 100;
    private static final double HOT_TENANT_FACTOR = 6;
    private static final int OTHER_CLIENTS = 100;
    private static final int LARGE_BODY_BYTES = 250_000;
    private static final int OTHER_BODY_BYTES = 12_000;
    private static final int WORK_MILLISECONDS = 2_000;
    private static final int PLAN_TIMEOUT_MILLISECONDS = 20_000;
    private static final int OVEN_TIMEOUT_MILLISECONDS = 1_000;
    private static final int LOAD_MILLISECONDS = 11_000;
    private static final int RETRY_PAUSE_MILLISECONDS = 10;
    private static final int PROBES = 20;

    /** What the clients of one group have seen. */
    private static final class Counts {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger refused = new AtomicInteger();
        final AtomicInteger closed = new AtomicInteger();
        final AtomicInteger silent = new AtomicInteger();

        @Override
        public String toString() {
            return "sent " + sent + ", served " + served + ", refused " + refused + ", connection closed " + closed
                + ", no answer in time " + silent;
        }
    }

    public static void main(String[] arguments) throws Exception {
        Deployment.run(arguments, LargeBodies::run);
    }

    private static boolean run(Deployment deployment) throws Exception {
        for (String service : List.of("plans", "plans", "plans", "ovens")) {
            ReplicaStandIn replica = new ReplicaStandIn(deployment.address, 0, (head, in, out) -> {
                Http.readExactly(in, head.length());
                if (service.equals("plans")) Thread.sleep(WORK_MILLISECONDS);
                ReplicaStandIn.writeSigned(head, out, "200 OK", "{}");
                return true;
            });
            deployment.register("i-" + service + "-" + replica.port(), service, replica.port());
        }
        deployment.configure(
            Deployment.route("plan", "non_idempotent", "plans", PLAN_TIMEOUT_MILLISECONDS, 1, "") + ","
                + Deployment.route("oven", "idempotent", "ovens", OVEN_TIMEOUT_MILLISECONDS, 2, ""),
            Deployment.service("plans") + "," + Deployment.service("ovens"));
        deployment.startRouter();
        deployment.note("small requests before: " + probe(deployment, "before"));
        load(deployment);
        Thread.sleep(1_000);
        Counts after = probe(deployment, "after");
        deployment.note("small requests after: " + after);
        deployment.note("the router runs: " + deployment.router().isAlive() + ", is ready: " + deployment.isReady());
        int unanswered = after.silent.get() + after.closed.get();
        return unanswered * 2 <= PROBES;
    }

    private static void load(Deployment deployment) throws Exception {
        int clients = deployment.trouble ? (int) (USUAL_CLIENTS * HOT_TENANT_FACTOR) : USUAL_CLIENTS;
        deployment.note(clients + " clients of the tenant with bodies of " + LARGE_BODY_BYTES + " bytes, " + OTHER_CLIENTS
            + " others with bodies of " + OTHER_BODY_BYTES + " bytes, for " + LOAD_MILLISECONDS + " ms");
        long until = System.nanoTime() + LOAD_MILLISECONDS * 1_000_000L;
        Counts large = new Counts();
        Counts others = new Counts();
        List<Thread> threads = new ArrayList<>();
        byte[] largeBody = new byte[LARGE_BODY_BYTES];
        byte[] otherBody = new byte[OTHER_BODY_BYTES];
        for (int client = 0; client < clients; client++) {
            String name = "large-" + client;
            threads.add(Threads.start(name, () -> sendUntil(deployment, until, name, largeBody, large)));
        }
        for (int client = 0; client < OTHER_CLIENTS; client++) {
            String name = "other-" + client;
            threads.add(Threads.start(name, () -> sendUntil(deployment, until, name, otherBody, others)));
        }
        // A router that does not read blocks its clients while they send.
        long last = until + (PLAN_TIMEOUT_MILLISECONDS + 1_000) * 1_000_000L;
        for (Thread thread : threads) thread.join(Math.max(1, (last - System.nanoTime()) / 1_000_000L));
        deployment.note("clients that still wait: " + threads.stream().filter(Thread::isAlive).count());
        deployment.note("the tenant's requests: " + large);
        deployment.note("the other plans: " + others);
    }

    /** Sends one request after the other on a kept connection, and on a new one after the router has closed it. */
    private static void sendUntil(Deployment deployment, long until, String name, byte[] body, Counts counts)
        throws Exception {
        for (int request = 0; System.nanoTime() < until;) {
            try (Socket socket = deployment.connect(deployment.callerPort, PLAN_TIMEOUT_MILLISECONDS + 500)) {
                while (System.nanoTime() < until) {
                    send(socket, "plan", name + "-" + request++, body, PLAN_TIMEOUT_MILLISECONDS, counts);
                }
            } catch (java.net.SocketTimeoutException problem) {
                counts.silent.incrementAndGet();
            } catch (IOException problem) {
                counts.closed.incrementAndGet();
                Thread.sleep(RETRY_PAUSE_MILLISECONDS);
            }
        }
    }

    private static void send(Socket socket, String route, String id, byte[] body, int timeoutMilliseconds, Counts counts)
        throws IOException {
        counts.sent.incrementAndGet();
        OutputStream out = socket.getOutputStream();
        out.write(Http.ascii("POST /" + route + "/new HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: " + timeoutMilliseconds + "\r\nAuthorization: Bearer key-of-bakery\r\nContent-Length: "
            + body.length + "\r\n\r\n"));
        out.write(body);
        out.flush();
        int status = Http.readResponse(new BufferedInputStream(socket.getInputStream()), "POST").status();
        (status == 200 ? counts.served : counts.refused).incrementAndGet();
    }

    /** Sends small requests, each on a new connection, and waits for each half a second beyond the route's timeout. */
    private static Counts probe(Deployment deployment, String name) throws Exception {
        Counts counts = new Counts();
        List<Thread> threads = new ArrayList<>();
        for (int request = 0; request < PROBES; request++) {
            String id = name + "-" + request;
            threads.add(Threads.start(id, () -> {
                try (Socket socket = deployment.connect(deployment.callerPort, OVEN_TIMEOUT_MILLISECONDS + 500)) {
                    send(socket, "oven", id, new byte[100], OVEN_TIMEOUT_MILLISECONDS, counts);
                } catch (java.net.SocketTimeoutException problem) {
                    counts.silent.incrementAndGet();
                } catch (IOException problem) {
                    counts.closed.incrementAndGet();
                }
            }));
            Thread.sleep(100);
        }
        for (Thread thread : threads) thread.join();
        return counts;
    }
}
